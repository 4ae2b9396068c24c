package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/quarantine"
	"wisteriadyke/core/ratelimit"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/sharedload"
)

// Choosers receives the usage reports of other entries and chooses endpoints for them. *sharedload.ChooserSet
// implements it.
type Choosers interface {
	// HandleUsage stores the usage report of another entry and returns the reply.
	HandleUsage(report sharedload.UsageReport) sharedload.UsageReply
	// HandleChoose returns the best endpoint for a request, with its helpers, or that the request has to wait; errors are
	// *reservation.Refusal.
	HandleChoose(ctx context.Context, request sharedload.ChooseRequest) (sharedload.Choice, error)
}

// SuspectRecords holds the records of requests that may crash endpoints; *retry.Suspects implements it.
type SuspectRecords interface {
	// Records returns all records.
	Records() []retry.SuspectRecord
	// Merge merges a record of another entry and returns the result.
	Merge(record retry.SuspectRecord) retry.SuspectRecord
}

// FreshnessSource reports the freshness of this entry's configuration; *freshness.PeerExchange implements it.
type FreshnessSource interface {
	// Report returns the current version and the time since it was confirmed to be the newest; known is false if
	// either is unknown.
	Report() (version int64, age time.Duration, known bool)
}

// FreshnessSink applies the freshness that other entries report; *freshness.PeerExchange implements it.
type FreshnessSink interface {
	// Now returns the current time of the freshness tracker. It is read before an entry is called and then passed to
	// Apply.
	Now() time.Duration
	// Hear records the configuration version of another entry, or 0 if it has none.
	Hear(version int64)
	// Apply applies the freshness in the reply of an entry that was called at calledAt: its configuration version, and the
	// time since that was confirmed to be the newest.
	Apply(calledAt time.Duration, version int64, age time.Duration)
}

// PartExchange passes what entries learn about prompt parts that crash endpoints; *quarantine.Exchange implements it.
type PartExchange interface {
	// Request returns the message with which to call an entry.
	Request(to netip.AddrPort) quarantine.Message
	// Reply applies the message of another entry and returns the answer to it.
	Reply(m quarantine.Message, now time.Time) quarantine.Message
	// Complete applies the answer to a request.
	Complete(to netip.AddrPort, reply quarantine.Message, now time.Time)
}

// UsageTransport sends usage reports and choose requests to other entries. It implements sharedload.Transport.
type UsageTransport struct {
	// Client calls the other entries.
	Client *Client
	// SuspectRecords holds the records that are sent with usage reports, and merges those of the replies.
	SuspectRecords SuspectRecords
	// Parts exchanges what is known about prompt parts; nil disables that.
	Parts PartExchange
	// Freshness applies the freshness in the replies; nil ignores it.
	Freshness FreshnessSink
}

// ReportUsage sends the usage report and the suspect records of this entry. It applies the freshness and merges the
// suspect records in the reply.
func (t *UsageTransport) ReportUsage(ctx context.Context, to netip.AddrPort, report sharedload.UsageReport) (sharedload.UsageReply, error) {
	message := toUsageSet(report)
	message.Deaths, message.SettledDeaths = toRecordMessages(t.SuspectRecords, time.Now())
	message.Cleared = toClearedMessages(t.SuspectRecords, time.Now())
	if t.Parts != nil {
		message.Parts = toPartChanges(t.Parts.Request(to), time.Now())
	}
	var calledAt time.Duration
	if t.Freshness != nil {
		calledAt = t.Freshness.Now()
	}
	reply, err := NewDRPCUsageClient(t.Client.shortCallConn(ctx, to)).Take(ctx, message)
	if err != nil {
		return sharedload.UsageReply{}, errors.Wrapf(err, "report usage to %s", to)
	}
	if t.Freshness != nil {
		t.Freshness.Hear(reply.ConfigurationVersion)
		if reply.EvidenceAgeUs != nil {
			t.Freshness.Apply(calledAt, reply.ConfigurationVersion, microseconds(*reply.EvidenceAgeUs))
		}
	}
	mergeRecords(t.SuspectRecords, reply.Deaths, false, "", time.Now())
	mergeRecords(t.SuspectRecords, reply.SettledDeaths, true, "", time.Now())
	mergeCleared(t.SuspectRecords, reply.Cleared, time.Now())
	if t.Parts != nil && reply.Parts != nil {
		now := time.Now()
		t.Parts.Complete(to, fromPartChanges(reply.Parts, now), now)
	}
	answer := sharedload.UsageReply{Chooses: reply.Chooses}
	for _, zone := range reply.Zones {
		answer.Zones = append(answer.Zones, fleet.Zone(zone))
	}
	answer.LostPaths = fromLostPaths(reply.LostPaths, time.Now())
	for _, a := range reply.Alternates {
		if answer.Alternates == nil {
			answer.Alternates = make(map[fleet.PoolName][]fleet.EntryID)
		}
		for _, id := range a.Entries {
			answer.Alternates[fleet.PoolName(a.Pool)] = append(answer.Alternates[fleet.PoolName(a.Pool)], fleet.EntryID(id))
		}
	}
	return answer, nil
}

// Choose requests the best endpoint, with its helpers, from another entry; the error is a *reservation.Refusal if that
// entry refused the request.
func (t *UsageTransport) Choose(
	ctx context.Context, to netip.AddrPort, request sharedload.ChooseRequest,
) (sharedload.Choice, error) {
	conn := t.Client.shortCallConn
	if request.Need.MayWait {
		conn = t.Client.blockingCallConn
	}
	reply, err := NewDRPCUsageClient(conn(ctx, to)).Choose(ctx, toChooseRequest(request))
	if err != nil {
		return sharedload.Choice{}, errors.Wrapf(err, "request a choice from %s", to)
	}
	if reply.Refusal != nil {
		return sharedload.Choice{}, fromRefusal(reply.Refusal, time.Now())
	}
	return fromChooseReply(reply), nil
}

// usageHandler implements the Usage service.
type usageHandler struct {
	choosers       Choosers
	suspectRecords SuspectRecords
	parts          PartExchange
	freshness      FreshnessSource
}

// Take stores the usage report and merges the suspect records of one entry. It replies with the suspect records and the
// freshness of this entry.
func (h *usageHandler) Take(_ context.Context, m *UsageSet) (*UsageReply, error) {
	answer := h.choosers.HandleUsage(fromUsageSet(m))
	mergeRecords(h.suspectRecords, m.Deaths, false, fleet.EntryID(m.Entry), time.Now())
	mergeRecords(h.suspectRecords, m.SettledDeaths, true, fleet.EntryID(m.Entry), time.Now())
	mergeCleared(h.suspectRecords, m.Cleared, time.Now())
	reply := &UsageReply{
		Chooses: answer.Chooses,
		Cleared: toClearedMessages(h.suspectRecords, time.Now()),
	}
	reply.Deaths, reply.SettledDeaths = toRecordMessages(h.suspectRecords, time.Now())
	if h.parts != nil && m.Parts != nil {
		now := time.Now()
		reply.Parts = toPartChanges(h.parts.Reply(fromPartChanges(m.Parts, now), now), now)
	}
	for _, zone := range answer.Zones {
		reply.Zones = append(reply.Zones, string(zone))
	}
	reply.LostPaths = toLostPaths(answer.LostPaths, time.Now())
	for pool, entries := range answer.Alternates {
		message := &PoolAlternates{Pool: string(pool)}
		for _, id := range entries {
			message.Entries = append(message.Entries, string(id))
		}
		reply.Alternates = append(reply.Alternates, message)
	}
	if h.freshness == nil {
		return reply, nil
	}
	version, age, known := h.freshness.Report()
	reply.ConfigurationVersion = version
	if known {
		us := age.Microseconds()
		reply.EvidenceAgeUs = &us
	}
	return reply, nil
}

// Choose returns the best endpoint for a request, with its helpers.
func (h *usageHandler) Choose(ctx context.Context, m *ChooseRequest) (*ChooseReply, error) {
	choice, err := h.choosers.HandleChoose(ctx, fromChooseRequest(m))
	if err != nil {
		refusal, err := refusalMessage(err)
		return &ChooseReply{Refusal: refusal}, err
	}
	return toChooseReply(choice), nil
}

// toUsageSet converts a usage report to its message, without the suspect records (Deaths), which ReportUsage adds.
func toUsageSet(report sharedload.UsageReport) *UsageSet {
	m := &UsageSet{
		Entry: string(report.Entry), Usages: toUsages(report.Usages), Settled: report.Settled,
		Latest: report.Latest, Outstanding: report.Outstanding,
	}
	role := int64(report.Role)
	m.Role = &role
	for _, pool := range report.CutOff {
		m.CutOff = append(m.CutOff, string(pool))
	}
	for _, pool := range report.Unreached {
		m.Unreached = append(m.Unreached, string(pool))
	}
	for id, incarnation := range report.Leaving {
		m.Leaving = append(m.Leaving, &LeavingEndpoint{Endpoint: string(id), Incarnation: uint64(incarnation)})
	}
	now := time.Now()
	m.Paces = toEndpointPaces(report.Paces, now)
	for id, statement := range report.Limits {
		m.Limits = append(m.Limits, toEndpointLimit(id, statement, now))
	}
	m.LostPaths = toLostPaths(report.LostPaths, now)
	return m
}

// fromUsageSet converts a message to a usage report. An entry of an earlier version, which doesn't tell in which role the
// receiver chooses for it, counts as one that the receiver leads.
func fromUsageSet(m *UsageSet) sharedload.UsageReport {
	report := sharedload.UsageReport{
		Entry:   fleet.EntryID(m.GetEntry()),
		Role:    sharedload.RoleLeader,
		Usages:  fromUsages(m.GetUsages()),
		Settled: m.GetSettled(),

		Latest:      m.GetLatest(),
		Outstanding: m.GetOutstanding(),

		Leaving: make(map[fleet.EndpointID]fleet.Incarnation, len(m.GetLeaving())),
		Limits:  make(map[fleet.EndpointID]ratelimit.Statement, len(m.GetLimits())),
	}
	if m.Role != nil {
		report.Role = sharedload.Role(*m.Role)
	}
	for _, pool := range m.GetCutOff() {
		report.CutOff = append(report.CutOff, fleet.PoolName(pool))
	}
	for _, pool := range m.GetUnreached() {
		report.Unreached = append(report.Unreached, fleet.PoolName(pool))
	}
	for _, l := range m.GetLeaving() {
		report.Leaving[fleet.EndpointID(l.Endpoint)] = fleet.Incarnation(l.Incarnation)
	}
	now := time.Now()
	report.Paces = fromEndpointPaces(m.GetPaces(), now)
	for _, l := range m.GetLimits() {
		report.Limits[fleet.EndpointID(l.Endpoint)] = fromEndpointLimit(l, now)
	}
	report.LostPaths = fromLostPaths(m.GetLostPaths(), now)
	return report
}

// toEndpointLimit converts what an endpoint said of its limit, with its time relative to now.
func toEndpointLimit(id fleet.EndpointID, statement ratelimit.Statement, now time.Time) *EndpointLimit {
	return &EndpointLimit{
		Endpoint:    string(id),
		Incarnation: uint64(statement.Incarnation),
		PerSecond:   statement.PerSecond,
		AgeUs:       now.Sub(statement.At).Microseconds(),
	}
}

// fromEndpointLimit converts a message received at now.
func fromEndpointLimit(m *EndpointLimit, now time.Time) ratelimit.Statement {
	return ratelimit.Statement{
		Incarnation: fleet.Incarnation(m.Incarnation),
		PerSecond:   m.PerSecond,
		At:          now.Add(-microseconds(m.AgeUs)),
	}
}

// toUsages converts usages to messages.
func toUsages(usages map[fleet.EndpointID]sharedload.Usage) []*EndpointUsage {
	messages := make([]*EndpointUsage, 0, len(usages))
	for id, u := range usages {
		messages = append(messages, &EndpointUsage{
			Endpoint:     string(id),
			Running:      int64(u.Running),
			Quick:        int64(u.Quick),
			ReadingUs:    u.PrefillTime.Microseconds(),
			MemoryTokens: int64(u.Memory),
			Stakes:       toPauseValues(u.ValueByPause),
		})
	}
	return messages
}

// fromUsages converts messages to usages.
func fromUsages(messages []*EndpointUsage) map[fleet.EndpointID]sharedload.Usage {
	usages := make(map[fleet.EndpointID]sharedload.Usage, len(messages))
	for _, u := range messages {
		usages[fleet.EndpointID(u.Endpoint)] = sharedload.Usage{
			Running:      int(u.Running),
			Quick:        int(u.Quick),
			PrefillTime:  microseconds(u.ReadingUs),
			Memory:       fleet.Tokens(u.MemoryTokens),
			ValueByPause: fromPauseValues(u.Stakes),
		}
	}
	return usages
}

// toPauseValues converts values by tolerated pause to their wire form.
func toPauseValues(values sharedload.ValueByPause) []int64 {
	message := make([]int64, 0, len(values))
	for _, value := range values {
		message = append(message, int64(value))
	}
	return message
}

// fromPauseValues converts the wire form to values by tolerated pause. Missing bands are zero; bands beyond the last
// known one are added to it.
func fromPauseValues(message []int64) sharedload.ValueByPause {
	var values sharedload.ValueByPause
	for i, value := range message {
		values[min(i, len(values)-1)] += int(value)
	}
	return values
}
