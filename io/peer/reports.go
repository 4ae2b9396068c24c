package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// ReportReceiver receives the endpoint reports of other owners. It sends none; ReportTransport does.
type ReportReceiver interface {
	// MergeReports merges the reports of one owner into those known so far.
	MergeReports(reports map[fleet.EndpointID]placement.Report)
}

// ReportTransport sends endpoint reports to other entries.
type ReportTransport struct {
	// Client calls the other entries.
	Client *Client
}

// SendReports sends reports on endpoints that this entry owns to the entry at an address.
func (t *ReportTransport) SendReports(
	ctx context.Context, to netip.AddrPort, reports map[fleet.EndpointID]placement.Report,
) error {
	now := time.Now()
	message := &ReportSet{}
	for id, report := range reports {
		message.Reports = append(message.Reports, toEndpointReport(id, report, now))
	}
	_, err := NewDRPCReportClient(t.Client.shortCallConn(ctx, to)).Take(ctx, message)
	return errors.Wrapf(err, "report to %s", to)
}

// reportHandler implements the Report service.
type reportHandler struct {
	receiver ReportReceiver
}

// Take merges the reports of one owner into those known so far.
func (h *reportHandler) Take(_ context.Context, m *ReportSet) (*ReportReply, error) {
	now := time.Now()
	reports := make(map[fleet.EndpointID]placement.Report, len(m.Reports))
	for _, r := range m.Reports {
		reports[fleet.EndpointID(r.Endpoint)] = fromEndpointReport(r, now)
	}
	h.receiver.MergeReports(reports)
	return &ReportReply{}, nil
}

// toEndpointReport converts a report to its message, with its age at now.
func toEndpointReport(id fleet.EndpointID, r placement.Report, now time.Time) *EndpointReport {
	m := &EndpointReport{
		Endpoint:               string(id),
		AgeUs:                  now.Sub(r.MeasuredAt).Microseconds(),
		Open:                   r.Accepting,
		FreeShortTokens:        int64(r.FreeShort),
		FreeLongTokens:         int64(r.FreeLong),
		WaitShortUs:            r.WaitShort.Microseconds(),
		WaitLongUs:             r.WaitLong.Microseconds(),
		PrefillTokensPerSecond: float32(r.Prefill),
		DecodeTokensPerSecond:  float32(r.Decode),
	}
	if r.FreeSlots != placement.UnlimitedFreeSlots {
		slots := int64(r.FreeSlots)
		m.Slots = &slots
	}
	return m
}

// fromEndpointReport converts a message received at now to a report.
func fromEndpointReport(m *EndpointReport, now time.Time) placement.Report {
	r := placement.Report{
		MeasuredAt: now.Add(-microseconds(m.AgeUs)),
		Accepting:  m.Open,
		FreeSlots:  placement.UnlimitedFreeSlots,
		FreeShort:  fleet.Tokens(m.FreeShortTokens),
		FreeLong:   fleet.Tokens(m.FreeLongTokens),
		WaitShort:  microseconds(m.WaitShortUs),
		WaitLong:   microseconds(m.WaitLongUs),
		Prefill:    float64(m.PrefillTokensPerSecond),
		Decode:     float64(m.DecodeTokensPerSecond),
	}
	if m.Slots != nil {
		r.FreeSlots = int(*m.Slots)
	}
	return r
}
