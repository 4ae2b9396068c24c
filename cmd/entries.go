package cmd

import (
	"net/netip"
	"os"

	"github.com/spf13/cobra"

	"wisteriadyke/io/jsonhttp"
	"wisteriadyke/io/operator"
)

// operatorKeyVariable is the environment variable that holds the operators' key.
const operatorKeyVariable = "WISTERIADYKE_OPERATOR_KEY"

// addEntriesFlag adds the required flag for the operator addresses of the entries to query.
func addEntriesFlag(command *cobra.Command, entries *[]string) {
	command.Flags().StringSliceVar(entries, "entry", nil, "operator `address` of an entry, such as 127.0.0.1:8301; may be repeated")
	_ = command.MarkFlagRequired("entry")
}

// operatorClients returns a client for each operator address.
func operatorClients(addresses []string) ([]*operator.Client, error) {
	var clients []*operator.Client
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, inputErrorf("--entry: %v", err)
		}
		clients = append(clients, &operator.Client{
			Address: address,
			Key:     os.Getenv(operatorKeyVariable),
			HTTP:    jsonhttp.NewPooled(),
		})
	}
	return clients, nil
}
