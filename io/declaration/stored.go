package declaration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"wisteriadyke/core/config"
	"wisteriadyke/io/jsonfile"
)

// storedFile is the JSON form in which a whole configuration is stored and sent to other entries.
type storedFile struct {
	Revision uint64          `json:"revision"`
	Accounts []storedAccount `json:"accounts"`
	Classes  []storedClass   `json:"classes"`
}

// storedAccount is the stored form of a client account.
type storedAccount struct {
	Name      string  `json:"name"`
	Weight    float64 `json:"weight"`
	KeyDigest string  `json:"key_digest"`
}

// storedClass is the stored form of a request class.
type storedClass struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	Kind       string `json:"kind"`
	Operation  string `json:"operation,omitempty"`
	Priority   int    `json:"priority,omitempty"`
	Wait       string `json:"wait"`
	Finish     string `json:"finish"`
	AtMostOnce bool   `json:"at_most_once,omitempty"`
	MaxPrompt  int64  `json:"max_prompt,omitempty"`
	MaxOutput  int64  `json:"max_output,omitempty"`
}

// checkedFile is the stored form for decoding: it has the fields of storedFile, with the rules of declaration files.
type checkedFile struct {
	Revision uint64    `json:"revision" check:"required,min=1"`
	Accounts []account `json:"accounts" check:"max=10000"`
	Classes  []class   `json:"classes" check:"max=1000"`
}

// Encode returns the stored form of a configuration. Equal configurations have equal stored forms.
func Encode(configuration config.Configuration) ([]byte, error) {
	stored := storedFile{Revision: configuration.Revision, Accounts: []storedAccount{}, Classes: []storedClass{}}
	for _, name := range slices.Sorted(maps.Keys(configuration.Accounts)) {
		a := configuration.Accounts[name]
		stored.Accounts = append(stored.Accounts, storedAccount{
			Name:      string(a.Name),
			Weight:    a.Weight,
			KeyDigest: a.KeyDigest,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(configuration.Classes)) {
		stored.Classes = append(stored.Classes, newStoredClass(configuration.Classes[name]))
	}
	data, err := json.Marshal(stored)
	return data, errors.Wrap(err, "encode configuration")
}

// newStoredClass returns the stored form of a request class.
func newStoredClass(c config.Class) storedClass {
	return storedClass{
		Name:       string(c.Name),
		Pool:       string(c.Pool),
		Kind:       string(c.Kind),
		Operation:  c.Operation,
		Priority:   c.Priority,
		Wait:       c.StartTimeout.String(),
		Finish:     c.FinishTimeout.String(),
		AtMostOnce: c.AtMostOnce,
		MaxPrompt:  int64(c.MaxPrompt),
		MaxOutput:  int64(c.MaxOutput),
	}
}

// Decode decodes the stored form of a configuration. It returns an error if the stored form breaks a rule of
// declaration files or has no revision.
func Decode(data []byte) (config.Configuration, error) {
	var stored checkedFile
	const name = "configuration"
	faults := jsonfile.Parse(name, data, &stored).Faults()
	if len(faults) > 0 {
		return config.Configuration{}, errors.Wrap(faults, "decode")
	}
	source := file{Accounts: stored.Accounts, Classes: stored.Classes}.source(fmt.Sprintf("revision %d", stored.Revision))
	configuration, problems := config.Merge([]config.Source{source})
	if len(problems) > 0 {
		return config.Configuration{}, errors.Errorf("revision %d: %s: %s", stored.Revision, problems[0].Field, problems[0].Text)
	}
	configuration.Revision = stored.Revision
	return configuration, nil
}
