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

// defaultTimeout is the default of --timeout for commands that read or change the configuration or the zones.
const defaultTimeout = 30 * time.Second

// operatorFlags holds the flags of commands that read or change the configuration or the zones on the platform that
// package io/platform calls.
type operatorFlags struct {
	platform netip.AddrPort
	by       string
	timeout  time.Duration
	yes      bool
	output   output
}

// addReadFlags adds the flags of commands that only read records.
func (f *operatorFlags) addReadFlags(c *cobra.Command) {
	c.Flags().TextVar(&f.platform, "platform", netip.AddrPort{}, "`address` of the platform's store, as in 127.0.0.1:7000")
	_ = c.MarkFlagRequired("platform")
	c.Flags().DurationVar(&f.timeout, "timeout", defaultTimeout, "longest time that the command takes")
	addOutputFlag(c, &f.output)
}

// addChangeFlags adds the flags of commands that change records; effect describes the changes to be confirmed by --yes.
func (f *operatorFlags) addChangeFlags(c *cobra.Command, effect string) {
	f.addReadFlags(c)
	c.Flags().StringVar(&f.by, "by", userName(), "`name` of the operator, recorded with the change")
	c.Flags().BoolVar(&f.yes, "yes", false, "confirm a change that "+effect)
}

// client returns a client of the platform.
func (f *operatorFlags) client() *platform.Client {
	return &platform.Client{Addresses: []netip.AddrPort{f.platform}, HTTP: jsonhttp.NewPooled()}
}

// newChange returns a change of a record by the operator, with a new token and the current time; the strings in from
// name its sources, such as declaration files.
func (f *operatorFlags) newChange(from ...string) platform.Change {
	return platform.Change{Token: rand.Text(), By: f.by, At: time.Now().UTC().Truncate(time.Millisecond), From: from}
}

// userName returns the name of the user who runs the command, or "unknown".
func userName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
