// Package declaration reads operators' declarations from JSON files and encodes the configuration that they result in.
package declaration

import (
	"fmt"
	"time"

	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonfile"
)

// file is the content of one declaration file.
type file struct {
	Accounts []account `json:"accounts" check:"max=10000"`
	Classes  []class   `json:"classes" check:"max=1000"`
}

// account is a client account in a declaration file.
type account struct {
	Name      fleet.AccountID `json:"name" check:"required,name"`
	Weight    float64         `json:"weight" check:"default=1,min=0.001,max=1000000"`
	KeyDigest string          `json:"key_digest" check:"required,digest"`
}

// class is a request class in a declaration file.
type class struct {
	Name          fleet.ClassName `json:"name" check:"required,name"`
	Pool          fleet.PoolName  `json:"pool" check:"required,name"`
	Kind          fleet.Kind      `json:"kind" check:"required,oneof=engine|service"`
	Operation     string          `json:"operation" check:"name"`
	Priority      int             `json:"priority" check:"default=0,min=0,max=100"`
	StartTimeout  time.Duration   `json:"wait" check:"required,min=10ms,max=24h"`
	FinishTimeout time.Duration   `json:"finish" check:"required,min=10ms,max=24h"`
	AtMostOnce    bool            `json:"at_most_once" check:"default=false"`
	MaxPrompt     fleet.Tokens    `json:"max_prompt" check:"min=1,max=10000000"`
	MaxOutput     fleet.Tokens    `json:"max_output" check:"min=1,max=1000000"`
}

// defaultMaxOutput is the bound on generated tokens of an engine class that declares none.
const defaultMaxOutput fleet.Tokens = 1024

// Reference returns the fields of a declaration file for the reference page.
func Reference() []jsonfile.Field {
	return jsonfile.Reference(file{})
}

// Merge reads declaration files and returns the configuration that they declare together, without a revision.
//
// The error is of type jsonfile.Faults and contains all faults of the files and of the configuration. Faults of the
// configuration as a whole are left out if a file has faults.
func Merge(paths []string) (config.Configuration, error) {
	var m merger
	for _, path := range paths {
		var f file
		m.add(jsonfile.ReadFile(path, &f), f)
	}
	return m.merge()
}

// merger accumulates the contents of files.
type merger struct {
	files   []*jsonfile.File
	sources []config.Source
	faults  jsonfile.Faults
}

// add adds one file with its faults and its content f.
func (m *merger) add(parsed *jsonfile.File, f file) {
	m.files = append(m.files, parsed)
	m.sources = append(m.sources, f.source(parsed.Name))
	m.faults = append(m.faults, parsed.Faults()...)
}

// merge returns the configuration that all files declare together. The error contains all faults.
func (m *merger) merge() (config.Configuration, error) {
	configuration, problems := config.Merge(m.sources)
	return configuration, append(m.faults, locate(m.files, problems, m.faults)...).Err()
}

// locate converts problems of the configuration to faults with file and line. It leaves out the problems of fields that
// have an existing fault, and problems of the configuration as a whole if there is any existing fault.
func locate(files []*jsonfile.File, problems []config.Problem, existing jsonfile.Faults) jsonfile.Faults {
	faultyFields := make(map[string]bool)
	faultyFiles := make(map[string]bool)
	for _, fault := range existing {
		faultyFields[fault.File+"\n"+fault.Field] = true
		faultyFiles[fault.File] = faultyFiles[fault.File] || fault.Field == ""
	}
	var faults jsonfile.Faults
	for _, p := range problems {
		if p.Source < 0 {
			if len(faultyFiles) == 0 {
				faults = append(faults, jsonfile.Fault{File: describeFiles(files), Problem: p.Text})
			}
			continue
		}
		f := files[p.Source]
		if faultyFields[f.Name+"\n"+p.Field] {
			continue
		}
		faults = append(faults, jsonfile.Fault{File: f.Name, Line: f.Line(p.Field), Field: p.Field, Problem: p.Text})
	}
	return faults
}

// describeFiles returns the name under which faults of all files together are reported.
func describeFiles(files []*jsonfile.File) string {
	if len(files) == 1 {
		return files[0].Name
	}
	return fmt.Sprintf("%d files", len(files))
}

// source converts the declarations of the file, which is called name, for config.Merge. An engine class without a bound
// on generated tokens gets defaultMaxOutput.
func (f file) source(name string) config.Source {
	source := config.Source{Name: name}
	for _, a := range f.Accounts {
		source.Accounts = append(source.Accounts, config.Account(a))
	}
	for _, c := range f.Classes {
		if c.Kind == fleet.KindEngine && c.MaxOutput == 0 {
			c.MaxOutput = defaultMaxOutput
		}
		source.Classes = append(source.Classes, config.Class(c))
	}
	return source
}
