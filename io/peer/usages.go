package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/sharedload"
)

// Usages takes what other entries run on endpoints.
type Usages interface {
	// TakeUsages takes all that one entry runs.
	TakeUsages(entry fleet.EntryID, usages map[fleet.EndpointID]sharedload.Usage)
}

// Deaths knows the requests that endpoints died of; *retry.Suspects does.
type Deaths interface {
	// Notes returns all that is known.
	Notes() []retry.Note
	// Take joins what another entry knows with that.
	Take(note retry.Note) retry.Note
}

// Witness tells how fresh an entry's configuration is.
type Witness interface {
	// Testify returns the version in force and how long ago it was surely the newest one; false means that it isn't known.
	Testify() (version int64, age time.Duration, known bool)
}

// Testimonies takes what other entries answer about the configuration.
type Testimonies interface {
	// Asked returns the moment at which another entry is asked.
	Asked() time.Duration
	// Heard takes the answer of an entry that was asked at a moment.
	Heard(asked time.Duration, version int64, age time.Duration)
}

// UsageTransport carries usages to other entries.
type UsageTransport struct {
	// Client reaches the other entries.
	Client *Client
	// Deaths holds what is told of requests that endpoints died of.
	Deaths Deaths
	// Testimonies takes what they answer about the configuration; nil takes nothing.
	Testimonies Testimonies
}

// Tell sends all that this entry runs.
func (t *UsageTransport) Tell(
	ctx context.Context, to netip.AddrPort, entry fleet.EntryID, usages map[fleet.EndpointID]sharedload.Usage,
) error {
	message := &UsageSet{Entry: string(entry)}
	for id, u := range usages {
		message.Usages = append(message.Usages, &EndpointUsage{
			Endpoint:     string(id),
			Running:      int64(u.Running),
			Quick:        int64(u.Quick),
			ReadingUs:    u.Reading.Microseconds(),
			MemoryTokens: int64(u.Memory),
			Stakes:       toStakes(u.Stakes),
		})
	}
	for _, note := range t.Deaths.Notes() {
		message.Deaths = append(message.Deaths, toDeaths(note, time.Now())...)
	}
	var asked time.Duration
	if t.Testimonies != nil {
		asked = t.Testimonies.Asked()
	}
	reply, err := NewDRPCUsageClient(t.Client.gossipConn(ctx, to)).Take(ctx, message)
	if err != nil {
		return errors.Wrapf(err, "usages to %s", to)
	}
	if t.Testimonies != nil && reply.EvidenceAgeUs != nil {
		t.Testimonies.Heard(asked, reply.ConfigurationVersion, microseconds(*reply.EvidenceAgeUs))
	}
	return nil
}

// usageHandler turns messages into usages.
type usageHandler struct {
	usages  Usages
	deaths  Deaths
	witness Witness
}

// Take takes all that one entry runs.
func (h *usageHandler) Take(_ context.Context, m *UsageSet) (*UsageReply, error) {
	usages := make(map[fleet.EndpointID]sharedload.Usage, len(m.Usages))
	for _, u := range m.Usages {
		usages[fleet.EndpointID(u.Endpoint)] = sharedload.Usage{
			Running: int(u.Running),
			Quick:   int(u.Quick),
			Reading: microseconds(u.ReadingUs),
			Memory:  fleet.Tokens(u.MemoryTokens),
			Stakes:  fromStakes(u.Stakes),
		}
	}
	h.usages.TakeUsages(fleet.EntryID(m.Entry), usages)
	for _, d := range m.Deaths {
		h.deaths.Take(fromDeath(fleet.EntryID(m.Entry), d, time.Now()))
	}
	reply := &UsageReply{}
	if h.witness == nil {
		return reply, nil
	}
	if version, age, known := h.witness.Testify(); known {
		us := age.Microseconds()
		reply.ConfigurationVersion, reply.EvidenceAgeUs = version, &us
	}
	return reply, nil
}

// toStakes returns stakes for a message.
func toStakes(stakes sharedload.Stakes) []int64 {
	message := make([]int64, 0, len(stakes))
	for _, worth := range stakes {
		message = append(message, int64(worth))
	}
	return message
}

// fromStakes returns the stakes of a message; bands that it does not name are zero, and those that are not known here
// count as the last one.
func fromStakes(message []int64) sharedload.Stakes {
	var stakes sharedload.Stakes
	for i, worth := range message {
		stakes[min(i, len(stakes)-1)] += int(worth)
	}
	return stakes
}

// toDeaths turns a note into its messages; a note that was cleared tells of no death.
func toDeaths(note retry.Note, now time.Time) []*RequestDeath {
	if note.Cleared {
		return nil
	}
	var deaths []*RequestDeath
	for _, d := range note.Deaths {
		deaths = append(deaths, &RequestDeath{
			Fingerprint: string(note.Fingerprint),
			Endpoint:    string(d.Endpoint),
			Incarnation: uint64(d.Incarnation),
			AgeUs:       now.Sub(note.ChangedAt).Microseconds(),
		})
	}
	return deaths
}

// fromDeath turns a message into a note.
func fromDeath(from fleet.EntryID, m *RequestDeath, now time.Time) retry.Note {
	return retry.Note{
		Fingerprint: retry.Fingerprint(m.Fingerprint),
		Deaths:      []retry.Death{{Endpoint: fleet.EndpointID(m.Endpoint), Incarnation: fleet.Incarnation(m.Incarnation)}},
		Holder:      from,
		ChangedAt:   now.Add(-microseconds(m.AgeUs)),
		Tolerated:   retry.ToleratedDeaths,
	}
}
