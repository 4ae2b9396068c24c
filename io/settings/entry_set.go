package settings

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonfile"
)

// ReadEntries reads the settings files of the entries of one deployment and returns them in the order of the paths. Two
// entries must not have the same name or address. The error is of type jsonfile.Faults.
func ReadEntries(paths []string) ([]Entry, error) {
	s := entrySet{names: make(map[fleet.EntryID]string), addresses: make(map[netip.AddrPort]string)}
	for _, path := range paths {
		s.read(path)
	}
	return s.entries, s.faults.Err()
}

// entrySet accumulates the settings of several entries, with the file that defined each name and address.
type entrySet struct {
	entries   []Entry
	faults    jsonfile.Faults
	names     map[fleet.EntryID]string
	addresses map[netip.AddrPort]string
}

// read adds one file.
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
		s.add(file, "entry", fmt.Sprintf("entry %q is named already in %s", entry.Entry, other))
	}
	s.names[entry.Entry] = path
	s.checkAddress(file, addressField{"caller_address", entry.CallerAddress})
	s.checkAddress(file, addressField{"peer_address", entry.PeerAddress})
	s.checkAddress(file, addressField{"operator_address", entry.OperatorAddress})
}

// checkAddress adds a fault if another entry has the same address. Defaults and unspecified addresses are allowed to be
// equal, since entries run on separate instances.
func (s *entrySet) checkAddress(file *jsonfile.File, a addressField) {
	other, found := s.addresses[a.value]
	if found && !a.value.Addr().IsUnspecified() && file.Has(a.name) {
		s.add(file, a.name, fmt.Sprintf("is %s, as in %s", a.value, other))
	}
	s.addresses[a.value] = file.Name
}

// add adds a fault of a field.
func (s *entrySet) add(file *jsonfile.File, field, problem string) {
	s.faults = append(s.faults, jsonfile.Fault{File: file.Name, Line: file.Line(field), Field: field, Problem: problem})
}
