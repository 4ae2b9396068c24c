package operator

import (
	"encoding/json"

	"github.com/kataras/iris/v12"

	"wisteriadyke/core/fleet"
)

// Status is the state of one entry as operators see it.
type Status struct {
	// Entry is the entry.
	Entry fleet.EntryID
	// Zone is its availability zone.
	Zone fleet.Zone
	// Ready tells whether it takes new requests.
	Ready bool
	// ConfigurationRevision is the revision in force.
	ConfigurationRevision uint64
	// Zones holds the operators' decisions on availability zones.
	Zones []ZoneStatus
	// Entries holds the entries that it knows.
	Entries []EntryStatus
	// Endpoints holds the endpoints that it knows.
	Endpoints []EndpointStatus
	// Suspects counts the requests that are on trial.
	Suspects int
	// Quarantined counts the requests that are not run any more.
	Quarantined int
}

// ZoneStatus is the state of one availability zone.
type ZoneStatus struct {
	Zone     fleet.Zone `json:"zone"`
	Drained  bool       `json:"drained"`
	Revision uint64     `json:"revision"`
}

// EntryStatus is the state of another entry.
type EntryStatus struct {
	Entry fleet.EntryID `json:"entry"`
	Zone  fleet.Zone    `json:"zone"`
	State fleet.State   `json:"state"`
}

// EndpointStatus is the state of an endpoint; the figures of its memory and queue are only known to its owner.
type EndpointStatus struct {
	Endpoint  fleet.EndpointID `json:"endpoint"`
	Zone      fleet.Zone       `json:"zone"`
	Pool      fleet.PoolName   `json:"pool"`
	State     fleet.State      `json:"state"`
	Owner     fleet.EntryID    `json:"owner,omitempty"`
	Owned     bool             `json:"owned"`
	Memory    fleet.Tokens     `json:"memory,omitempty"`
	Used      fleet.Tokens     `json:"used,omitempty"`
	Running   int              `json:"running,omitempty"`
	Queue     int              `json:"queue,omitempty"`
	Warmth    string           `json:"warmth,omitempty"`
	ColdLimit int              `json:"cold_limit,omitempty"`
}

// statusBody is the JSON form of a status.
type statusBody struct {
	Entry                 fleet.EntryID    `json:"entry"`
	Zone                  fleet.Zone       `json:"zone"`
	Ready                 bool             `json:"ready"`
	ConfigurationRevision uint64           `json:"configuration_revision"`
	Zones                 []ZoneStatus     `json:"zones"`
	Entries               []EntryStatus    `json:"entries"`
	Endpoints             []EndpointStatus `json:"endpoints"`
	Suspects              int              `json:"suspects"`
	Quarantined           int              `json:"quarantined"`
}

// handleStatus serves GET /v1/status.
func (s *Server) handleStatus(ctx iris.Context) {
	status := s.Status()
	status.Ready = s.ready.Load()
	_ = ctx.JSON(statusBody(status))
}

// DecodeStatus reads what GET /v1/status answers.
func DecodeStatus(data []byte) (Status, error) {
	var body statusBody
	err := json.Unmarshal(data, &body)
	return Status(body), err
}

// StatusBodies returns the JSON form of several states.
func StatusBodies(statuses []Status) any {
	bodies := make([]statusBody, len(statuses))
	for i, s := range statuses {
		bodies[i] = statusBody(s)
	}
	return bodies
}
