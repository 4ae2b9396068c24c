// Package declaration reads and writes operators' declarations in JSON.
package declaration

import (
	"fmt"
	"time"

	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonfile"
)

// file is the form of one declaration file.
type file struct {
	Accounts []account `json:"accounts" check:"max=10000"`
	Classes  []class   `json:"classes" check:"max=1000"`
}

// account is the form of one client account.
type account struct {
	Name      fleet.AccountID `json:"name" check:"required,name"`
	Weight    float64         `json:"weight" check:"default=1,min=0.001,max=1000000"`
	KeyDigest string          `json:"key_digest" check:"required,digest"`
}

// class is the form of one request class.
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

// defaultMaxOutput bounds the answers of an engine class that names no bound.
const defaultMaxOutput fleet.Tokens = 1024

// Reference returns the fields of a declaration file.
func Reference() []jsonfile.Field {
	return jsonfile.Reference(file{})
}

// Merge reads declaration files and returns what they declare together, without a revision.
//
// The error is of type jsonfile.Faults and names everything that is wrong in the files and in the whole.
func Merge(paths []string) (config.Configuration, error) {
	var m merger
	for _, path := range paths {
		var f file
		m.add(jsonfile.ReadFile(path, &f), f)
	}
	return m.merge()
}

// merger collects what was read from files.
type merger struct {
	files   []*jsonfile.File
	sources []config.Source
	faults  jsonfile.Faults
}

// add adds one file with its contents.
func (m *merger) add(read *jsonfile.File, f file) {
	m.files = append(m.files, read)
	m.sources = append(m.sources, f.source(read.Name))
	m.faults = append(m.faults, read.Faults()...)
}

// merge returns what all files declare together, or everything that is wrong.
func (m *merger) merge() (config.Configuration, error) {
	configuration, problems := config.Merge(m.sources)
	return configuration, append(m.faults, locate(m.files, problems, m.faults)...).Err()
}

// locate turns problems of the whole into faults; a field that has a fault already gets no second one.
func locate(files []*jsonfile.File, problems []config.Problem, known jsonfile.Faults) jsonfile.Faults {
	broken := make(map[string]bool)
	unread := make(map[string]bool)
	for _, fault := range known {
		broken[fault.File+"\n"+fault.Field] = true
		unread[fault.File] = unread[fault.File] || fault.Field == ""
	}
	var faults jsonfile.Faults
	for _, p := range problems {
		if p.Source < 0 {
			if len(unread) == 0 {
				faults = append(faults, jsonfile.Fault{File: wholeName(files), Problem: p.Text})
			}
			continue
		}
		f := files[p.Source]
		if broken[f.Name+"\n"+p.Field] {
			continue
		}
		faults = append(faults, jsonfile.Fault{File: f.Name, Line: f.Line(p.Field), Field: p.Field, Problem: p.Text})
	}
	return faults
}

// wholeName names all files together.
func wholeName(files []*jsonfile.File) string {
	if len(files) == 1 {
		return files[0].Name
	}
	return fmt.Sprintf("%d files", len(files))
}

// source returns what the file declares.
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
