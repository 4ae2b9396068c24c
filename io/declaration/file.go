// Package declaration reads and writes operators' declarations in JSON.
package declaration

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/declare"
	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonfile"
)

// file is the form of one declaration file.
type file struct {
	Accounts []account `json:"accounts"`
	Classes  []class   `json:"classes"`
}

// account is the form of one client account.
type account struct {
	Name      fleet.AccountID `json:"name"`
	Weight    float64         `json:"weight"`
	KeyDigest string          `json:"key_digest"`
}

// class is the form of one request class.
type class struct {
	Name       fleet.ClassName `json:"name"`
	Pool       fleet.PoolName  `json:"pool"`
	Kind       fleet.Kind      `json:"kind"`
	Priority   int             `json:"priority"`
	Wait       string          `json:"wait"`
	Finish     string          `json:"finish"`
	AtMostOnce bool            `json:"at_most_once,omitempty"`
	MaxPrompt  fleet.Tokens    `json:"max_prompt,omitempty"`
	MaxOutput  fleet.Tokens    `json:"max_output,omitempty"`
}

// Merge reads declaration files and returns what they declare together, without a revision.
func Merge(paths []string) (declare.Configuration, error) {
	merged := declare.Configuration{
		Accounts: make(map[fleet.AccountID]declare.Account),
		Classes:  make(map[fleet.ClassName]declare.Class),
	}
	for _, path := range paths {
		var f file
		if err := jsonfile.Read(path, &f); err != nil {
			return merged, err
		}
		if err := add(&merged, f); err != nil {
			return merged, errors.Wrap(err, path)
		}
	}
	return merged, nil
}

// Encode returns the stored form of a configuration.
func Encode(configuration declare.Configuration) ([]byte, error) {
	var f file
	for _, a := range configuration.Accounts {
		f.Accounts = append(f.Accounts, account(a))
	}
	for _, c := range configuration.Classes {
		f.Classes = append(f.Classes, class{
			Name:       c.Name,
			Pool:       c.Pool,
			Kind:       c.Kind,
			Priority:   c.Priority,
			Wait:       c.Wait.String(),
			Finish:     c.Finish.String(),
			AtMostOnce: c.AtMostOnce,
			MaxPrompt:  c.MaxPrompt,
			MaxOutput:  c.MaxOutput,
		})
	}
	data, err := json.Marshal(f)
	return data, errors.Wrap(err, "encode configuration")
}

// Decode reads the stored form of a configuration.
func Decode(data []byte, revision uint64) (declare.Configuration, error) {
	configuration := declare.Configuration{
		Revision: revision,
		Accounts: make(map[fleet.AccountID]declare.Account),
		Classes:  make(map[fleet.ClassName]declare.Class),
	}
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		return configuration, errors.Wrap(err, "decode configuration")
	}
	return configuration, add(&configuration, f)
}

// add puts what one file declares into a configuration.
func add(configuration *declare.Configuration, f file) error {
	for _, a := range f.Accounts {
		configuration.Accounts[a.Name] = declare.Account(a)
	}
	for _, c := range f.Classes {
		wait, err := time.ParseDuration(c.Wait)
		if err != nil {
			return errors.Wrapf(err, "class %q: wait", c.Name)
		}
		finish, err := time.ParseDuration(c.Finish)
		if err != nil {
			return errors.Wrapf(err, "class %q: finish", c.Name)
		}
		configuration.Classes[c.Name] = declare.Class{
			Name:       c.Name,
			Pool:       c.Pool,
			Kind:       c.Kind,
			Priority:   c.Priority,
			Wait:       wait,
			Finish:     finish,
			AtMostOnce: c.AtMostOnce,
			MaxPrompt:  c.MaxPrompt,
			MaxOutput:  c.MaxOutput,
		}
	}
	return nil
}
