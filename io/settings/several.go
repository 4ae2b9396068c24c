package settings

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonfile"
)

// ReadEntries reads the settings files of several entries of one deployment and returns them in the order of the
// paths. The error is of type jsonfile.Faults; two entries may share neither their name nor an address.
func ReadEntries(paths []string) ([]Entry, error) {
	s := several{names: make(map[fleet.EntryID]string), addresses: make(map[netip.AddrPort]string)}
	for _, path := range paths {
		s.read(path)
	}
	return s.entries, s.faults.Err()
}

// several is what was read so far.
type several struct {
	entries   []Entry
	faults    jsonfile.Faults
	names     map[fleet.EntryID]string
	addresses map[netip.AddrPort]string
}

// read reads one more file.
func (s *several) read(path string) {
	var entry Entry
	file := jsonfile.ReadFile(path, &entry)
	err := check(file, entry)
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
	s.checkAddress(file, address{"caller_address", entry.CallerAddress})
	s.checkAddress(file, address{"peer_address", entry.PeerAddress})
	s.checkAddress(file, address{"operator_address", entry.OperatorAddress})
}

// checkAddress adds a fault when another entry has the address; one that is a default or stands for all interfaces is
// no clash, since entries run on instances of their own.
func (s *several) checkAddress(file *jsonfile.File, a address) {
	other, found := s.addresses[a.at]
	if found && !a.at.Addr().IsUnspecified() && file.Has(a.field) {
		s.add(file, a.field, fmt.Sprintf("is %s, as in %s", a.at, other))
	}
	s.addresses[a.at] = file.Name
}

// add adds a fault at a field.
func (s *several) add(file *jsonfile.File, field, problem string) {
	s.faults = append(s.faults, jsonfile.Fault{File: file.Name, Line: file.Line(field), Field: field, Problem: problem})
}
