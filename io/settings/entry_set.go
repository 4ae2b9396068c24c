package settings

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonfile"
)

// ReadEntries reads and checks the settings files of the entries of one deployment and returns the settings in the
// order of the paths. It is a fault if two entries have the same name, or the same address other than a default or
// unspecified one. The error is of type jsonfile.Faults and contains all faults.
func ReadEntries(paths []string) ([]Entry, error) {
	s := entrySet{names: make(map[fleet.EntryID]string), addresses: make(map[netip.AddrPort]string)}
	for _, path := range paths {
		s.read(path)
	}
	return s.entries, s.faults.Err()
}

// entrySet accumulates the settings and the faults of several files.
type entrySet struct {
	entries []Entry
	faults  jsonfile.Faults
	// names and addresses hold the path of the last file that defined the name of an entry or an address.
	names     map[fleet.EntryID]string
	addresses map[netip.AddrPort]string
}

// read reads one file and adds its settings and faults. A file with faults of its own is not compared with the others.
func (s *entrySet) read(path string) {
	var entry Entry
	file := jsonfile.ReadFile(path, &entry)
	err := checkEntry(file, entry)
	s.entries = append(s.entries, entry)
	var faults jsonfile.Faults
	if errors.As(err, &faults) {
		s.faults = append(s.faults, faults...)
		return
	}
	if other, found := s.names[entry.Entry]; found {
		s.add(file, "entry", fmt.Sprintf("entry %q is already defined in %s", entry.Entry, other))
	}
	s.names[entry.Entry] = path
	s.checkAddress(file, addressField{"caller_address", entry.CallerAddress})
	s.checkAddress(file, addressField{"peer_address", entry.PeerAddress})
	s.checkAddress(file, addressField{"operator_address", entry.OperatorAddress})
}

// checkAddress adds a fault if an earlier file has the same address. An unspecified address, and one that this file
// leaves to the default, may be the same, since entries run on separate instances.
func (s *entrySet) checkAddress(file *jsonfile.File, a addressField) {
	other, found := s.addresses[a.value]
	if found && !a.value.Addr().IsUnspecified() && file.Has(a.name) {
		s.add(file, a.name, fmt.Sprintf("is %s, as in %s", a.value, other))
	}
	s.addresses[a.value] = file.Name
}

// add adds a fault of a field, with the line of the field.
func (s *entrySet) add(file *jsonfile.File, field, problem string) {
	s.faults = append(s.faults, jsonfile.Fault{File: file.Name, Line: file.Line(field), Field: field, Problem: problem})
}
