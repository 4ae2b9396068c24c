package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// Reports takes what other owners tell of their endpoints.
type Reports interface {
	// MergeReports takes the reports of one owner.
	MergeReports(reports map[fleet.EndpointID]placement.Report)
}

// ReportTransport carries reports to other entries.
type ReportTransport struct {
	// Client reaches the other entries.
	Client *Client
}

// SendReports sends what this entry knows of its endpoints.
func (t *ReportTransport) SendReports(
	ctx context.Context, to netip.AddrPort, reports map[fleet.EndpointID]placement.Report,
) error {
	now := time.Now()
	message := &ReportSet{}
	for id, report := range reports {
		message.Reports = append(message.Reports, toEndpointReport(id, report, now))
	}
	_, err := NewDRPCReportClient(t.Client.gossipConn(ctx, to)).Take(ctx, message)
	return errors.Wrapf(err, "report to %s", to)
}

// reportHandler turns messages into reports.
type reportHandler struct {
	reports Reports
}

// Take takes the reports of one owner.
func (h *reportHandler) Take(_ context.Context, m *ReportSet) (*ReportReply, error) {
	now := time.Now()
	reports := make(map[fleet.EndpointID]placement.Report, len(m.Reports))
	for _, r := range m.Reports {
		reports[fleet.EndpointID(r.Endpoint)] = fromEndpointReport(r, now)
	}
	h.reports.MergeReports(reports)
	return &ReportReply{}, nil
}

// toEndpointReport turns a report into its message.
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
	if r.Slots != placement.UnlimitedSlots {
		slots := int64(r.Slots)
		m.Slots = &slots
	}
	return m
}

// fromEndpointReport turns the message into a report.
func fromEndpointReport(m *EndpointReport, now time.Time) placement.Report {
	r := placement.Report{
		MeasuredAt: now.Add(-microseconds(m.AgeUs)),
		Accepting:  m.Open,
		Slots:      placement.UnlimitedSlots,
		FreeShort:  fleet.Tokens(m.FreeShortTokens),
		FreeLong:   fleet.Tokens(m.FreeLongTokens),
		WaitShort:  microseconds(m.WaitShortUs),
		WaitLong:   microseconds(m.WaitLongUs),
		Prefill:    float64(m.PrefillTokensPerSecond),
		Decode:     float64(m.DecodeTokensPerSecond),
	}
	if m.Slots != nil {
		r.Slots = int(*m.Slots)
	}
	return r
}
