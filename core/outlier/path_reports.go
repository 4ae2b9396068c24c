package outlier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wisteriadyke/core/fleet"
)

// Own returns this entry's valid reports, the newest first, at most maxPathReports. It returns none of lost paths to
// endpoints of pools that this entry is cut off from.
func (p *PathTable) Own(now time.Time) []PathReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var own []PathReport
	for key, r := range p.records {
		if key.zone != p.Self.Zone {
			continue
		}
		endpoint, found := p.State.Endpoints.Get(key.endpoint)
		if !found || endpoint.Incarnation != r.incarnation {
			continue
		}
		if report, found := r.lost[p.Self.ID]; found && now.Sub(report.At) < lostPathTTL && !p.CutOff(endpoint.Pool) {
			own = append(own, report)
		}
		if r.reached.Witness == p.Self.ID && now.Sub(r.reached.At) < lostPathTTL {
			own = append(own, r.reached)
		}
	}
	return newest(own)
}

// replyCacheTime is how long the result of ForZone is used again. It is half of the time within which an entry learns of a
// lost path.
const replyCacheTime = 50 * time.Millisecond

// cachedReply is the result of ForZone at a time.
type cachedReply struct {
	at      time.Time
	reports []PathReport
}

// ForZone returns the reports that entries of a zone need: those because of which paths of the zone are lost, and those
// of endpoints that were reached again; the newest first, at most maxPathReports. The caller must not change the
// result, which is cached for replyCacheTime.
func (p *PathTable) ForZone(zone fleet.Zone, now time.Time) []PathReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, found := p.replies[zone]; found && now.Sub(c.at) < replyCacheTime {
		return c.reports
	}
	var reports []PathReport
	for key, r := range p.records {
		if key.zone != zone {
			continue
		}
		if now.Sub(r.reached.At) < lostPathTTL {
			reports = append(reports, r.reached)
		}
		if r.inForce(now) {
			reports = append(reports, r.decisive(now)...)
		}
	}
	if p.replies == nil {
		p.replies = make(map[fleet.Zone]cachedReply)
	}
	reports = newest(reports)
	p.replies[zone] = cachedReply{at: now, reports: reports}
	return reports
}

// decisive returns the fewest reports because of which a path is lost: the newest corroborated one, or the two newest.
func (r *pathRecord) decisive(now time.Time) []PathReport {
	reports := newest(slices.Collect(maps.Values(r.lost)))
	contradicted := now.Sub(r.reached.At) < lostPathTTL
	alone := func(report PathReport) bool { return report.Corroborated && !r.doubts(report.Witness, now) }
	if i := slices.IndexFunc(reports, alone); i >= 0 && !contradicted {
		return reports[i : i+1]
	}
	return reports[:min(len(reports), 2)]
}

// newest sorts reports by descending time and returns the first maxPathReports.
func newest(reports []PathReport) []PathReport {
	slices.SortFunc(reports, func(a, b PathReport) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Witness, b.Witness))
	})
	return reports[:min(len(reports), maxPathReports)]
}
