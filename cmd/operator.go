package cmd

import (
	"crypto/rand"
	"net/netip"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"wisteriadyke/io/jsonhttp"
	"wisteriadyke/io/platform"
)

// defaultTimeout bounds a command that changes something.
const defaultTimeout = 30 * time.Second

// operatorFlags holds what all commands have that read or change operators' records.
type operatorFlags struct {
	platform netip.AddrPort
	by       string
	timeout  time.Duration
	yes      bool
	output   output
}

// add adds the flags of commands that only read.
func (f *operatorFlags) add(c *cobra.Command) {
	c.Flags().TextVar(&f.platform, "platform", netip.AddrPort{}, "`address` of the platform's store, as in 127.0.0.1:7000")
	_ = c.MarkFlagRequired("platform")
	c.Flags().DurationVar(&f.timeout, "timeout", defaultTimeout, "longest time that the command takes")
	addOutputFlag(c, &f.output)
}

// addChange adds the flags of commands that change something.
func (f *operatorFlags) addChange(c *cobra.Command, harm string) {
	f.add(c)
	c.Flags().StringVar(&f.by, "by", userName(), "`name` of the operator, kept with the change")
	c.Flags().BoolVar(&f.yes, "yes", false, "confirm a change that "+harm)
}

// client returns a client of the platform.
func (f *operatorFlags) client() *platform.Client {
	return &platform.Client{Addresses: []netip.AddrPort{f.platform}, HTTP: jsonhttp.NewPooled()}
}

// change returns a new change of a record.
func (f *operatorFlags) change(from ...string) platform.Change {
	return platform.Change{Token: rand.Text(), By: f.by, At: time.Now().UTC().Truncate(time.Millisecond), From: from}
}

// userName returns the name of the user who runs the command.
func userName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
