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

// Choosers takes what other entries run on endpoints, and chooses endpoints for them; *sharedload.ChooserSet does.
type Choosers interface {
	// HandleUsage takes all that one entry runs.
	HandleUsage(told sharedload.UsageReport) sharedload.UsageReply
	// HandleChoose returns the best endpoints for a request; an error is a *reservation.Refusal.
	HandleChoose(question sharedload.ChooseRequest) (sharedload.Choice, error)
}

// Deaths knows the requests that endpoints died of; *retry.Suspects does.
type Deaths interface {
	// Records returns all that is known.
	Records() []retry.SuspectRecord
	// Merge joins what another entry knows with that.
	Merge(note retry.SuspectRecord) retry.SuspectRecord
}

// FreshnessSource tells how fresh an entry's configuration is.
type FreshnessSource interface {
	// Report returns the version in force and how long ago it was surely the newest one; false means that it isn't known.
	Report() (version int64, age time.Duration, known bool)
}

// FreshnessSink takes what other entries answer about the configuration.
type FreshnessSink interface {
	// Now returns the moment at which another entry is asked.
	Now() time.Duration
	// Apply takes the answer of an entry that was asked at a moment.
	Apply(asked time.Duration, version int64, age time.Duration)
}

// UsageTransport carries usages and questions for choices to other entries. It implements sharedload.Transport.
type UsageTransport struct {
	// Client reaches the other entries.
	Client *Client
	// Deaths holds what is told, and takes what is answered, of requests that endpoints died of.
	Deaths Deaths
	// Freshness takes what they answer about the configuration; nil takes nothing.
	Freshness FreshnessSink
}

// ReportUsage sends all that this entry runs.
func (t *UsageTransport) ReportUsage(ctx context.Context, to netip.AddrPort, told sharedload.UsageReport) (sharedload.UsageReply, error) {
	message := toUsageSet(told)
	message.Deaths = toAllDeaths(t.Deaths, time.Now())
	var asked time.Duration
	if t.Freshness != nil {
		asked = t.Freshness.Now()
	}
	reply, err := NewDRPCUsageClient(t.Client.gossipConn(ctx, to)).Take(ctx, message)
	if err != nil {
		return sharedload.UsageReply{}, errors.Wrapf(err, "usages to %s", to)
	}
	if t.Freshness != nil && reply.EvidenceAgeUs != nil {
		t.Freshness.Apply(asked, reply.ConfigurationVersion, microseconds(*reply.EvidenceAgeUs))
	}
	takeDeaths(t.Deaths, reply.Deaths, "", time.Now())
	answer := sharedload.UsageReply{Chooses: reply.Chooses}
	for _, zone := range reply.Zones {
		answer.Zones = append(answer.Zones, fleet.Zone(zone))
	}
	return answer, nil
}

// Choose asks for a choice; an error is a *reservation.Refusal if the entry has answered.
func (t *UsageTransport) Choose(
	ctx context.Context, to netip.AddrPort, question sharedload.ChooseRequest,
) (sharedload.Choice, error) {
	reply, err := NewDRPCUsageClient(t.Client.gossipConn(ctx, to)).Choose(ctx, toChooseRequest(question))
	if err != nil {
		return sharedload.Choice{}, errors.Wrapf(err, "choice of %s", to)
	}
	if reply.Refusal != nil {
		return sharedload.Choice{}, fromRefusal(reply.Refusal, time.Now())
	}
	return fromChooseReply(reply), nil
}

// usageHandler turns messages into usages and choices.
type usageHandler struct {
	placers Choosers
	deaths  Deaths
	witness FreshnessSource
}

// Take takes all that one entry runs.
func (h *usageHandler) Take(_ context.Context, m *UsageSet) (*UsageReply, error) {
	answer := h.placers.HandleUsage(fromUsageSet(m))
	takeDeaths(h.deaths, m.Deaths, fleet.EntryID(m.Entry), time.Now())
	reply := &UsageReply{Chooses: answer.Chooses, Deaths: toAllDeaths(h.deaths, time.Now())}
	for _, zone := range answer.Zones {
		reply.Zones = append(reply.Zones, string(zone))
	}
	if h.witness == nil {
		return reply, nil
	}
	if version, age, known := h.witness.Report(); known {
		us := age.Microseconds()
		reply.ConfigurationVersion, reply.EvidenceAgeUs = version, &us
	}
	return reply, nil
}

// Choose returns the best endpoints for a request.
func (h *usageHandler) Choose(_ context.Context, m *ChooseRequest) (*ChooseReply, error) {
	choice, err := h.placers.HandleChoose(fromChooseRequest(m))
	if err != nil {
		refusal, err := refusalMessage(err)
		return &ChooseReply{Refusal: refusal}, err
	}
	return toChooseReply(choice), nil
}

// toUsageSet turns what an entry runs into its message.
func toUsageSet(told sharedload.UsageReport) *UsageSet {
	return &UsageSet{Entry: string(told.Entry), Usages: toUsages(told.Usages), Settled: told.Settled}
}

// fromUsageSet turns the message into what an entry runs.
func fromUsageSet(m *UsageSet) sharedload.UsageReport {
	return sharedload.UsageReport{Entry: fleet.EntryID(m.GetEntry()), Usages: fromUsages(m.GetUsages()), Settled: m.GetSettled()}
}

// toUsages turns usages into messages.
func toUsages(usages map[fleet.EndpointID]sharedload.Usage) []*EndpointUsage {
	messages := make([]*EndpointUsage, 0, len(usages))
	for id, u := range usages {
		messages = append(messages, &EndpointUsage{
			Endpoint:     string(id),
			Running:      int64(u.Running),
			Quick:        int64(u.Quick),
			ReadingUs:    u.PrefillTime.Microseconds(),
			MemoryTokens: int64(u.Memory),
			Stakes:       toStakes(u.ValueByPause),
		})
	}
	return messages
}

// fromUsages turns messages into usages.
func fromUsages(messages []*EndpointUsage) map[fleet.EndpointID]sharedload.Usage {
	usages := make(map[fleet.EndpointID]sharedload.Usage, len(messages))
	for _, u := range messages {
		usages[fleet.EndpointID(u.Endpoint)] = sharedload.Usage{
			Running:      int(u.Running),
			Quick:        int(u.Quick),
			PrefillTime:  microseconds(u.ReadingUs),
			Memory:       fleet.Tokens(u.MemoryTokens),
			ValueByPause: fromStakes(u.Stakes),
		}
	}
	return usages
}

// toStakes returns stakes for a message.
func toStakes(stakes sharedload.ValueByPause) []int64 {
	message := make([]int64, 0, len(stakes))
	for _, worth := range stakes {
		message = append(message, int64(worth))
	}
	return message
}

// fromStakes returns the stakes of a message; bands that it does not name are zero, and those that are not known here
// count as the last one.
func fromStakes(message []int64) sharedload.ValueByPause {
	var stakes sharedload.ValueByPause
	for i, worth := range message {
		stakes[min(i, len(stakes)-1)] += int(worth)
	}
	return stakes
}

// toAllDeaths returns the messages of all that is known of deaths.
func toAllDeaths(deaths Deaths, now time.Time) []*RequestDeath {
	var messages []*RequestDeath
	for _, note := range deaths.Records() {
		messages = append(messages, toDeaths(note, now)...)
	}
	return messages
}

// takeDeaths takes what an entry tells of deaths.
func takeDeaths(deaths Deaths, messages []*RequestDeath, from fleet.EntryID, now time.Time) {
	for _, m := range messages {
		deaths.Merge(fromDeath(from, m, now))
	}
}

// toDeaths turns a note into its messages; a note that was cleared tells of no death.
func toDeaths(note retry.SuspectRecord, now time.Time) []*RequestDeath {
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
func fromDeath(from fleet.EntryID, m *RequestDeath, now time.Time) retry.SuspectRecord {
	return retry.SuspectRecord{
		Fingerprint: retry.Fingerprint(m.Fingerprint),
		Deaths:      []retry.Death{{Endpoint: fleet.EndpointID(m.Endpoint), Incarnation: fleet.Incarnation(m.Incarnation)}},
		TrialEntry:  from,
		ChangedAt:   now.Add(-microseconds(m.AgeUs)),
		DeathLimit:  retry.NoTrialDeathLimit,
	}
}
