package operator

import (
	"encoding/json"

	"github.com/kataras/iris/v12"

	"wisteriadyke/core/fleet"
)

// Status is the state of one entry as shown to operators.
type Status struct {
	// Entry is the ID of the entry.
	Entry fleet.EntryID
	// Zone is the availability zone of the entry.
	Zone fleet.Zone
	// Ready reports whether the entry accepts new requests.
	Ready bool
	// ConfigurationRevision is the revision of the current configuration.
	ConfigurationRevision uint64
	// Zones contains the availability zones that an operator has changed.
	Zones []ZoneStatus
	// Entries contains the entries that this entry knows.
	Entries []EntryStatus
	// Endpoints contains the endpoints that this entry knows.
	Endpoints []EndpointStatus
	// Suspects is the number of requests on trial.
	Suspects int
	// Quarantined is the number of requests that are not run any more.
	Quarantined int
}

// ZoneStatus is the state of one availability zone.
type ZoneStatus struct {
	Zone     fleet.Zone `json:"zone"`
	Drained  bool       `json:"drained"`
	Revision uint64     `json:"revision"`
}

// EntryStatus is the state of an entry as known to the reporting entry.
type EntryStatus struct {
	Entry fleet.EntryID `json:"entry"`
	Zone  fleet.Zone    `json:"zone"`
	State fleet.State   `json:"state"`
}

// EndpointStatus is the state of an endpoint. Memory in use, running requests, queue and warmth are known only to the
// entry that owns the endpoint.
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

// statusBody is the JSON form of a Status.
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

// DecodeStatus decodes the response of GET /v1/status.
func DecodeStatus(data []byte) (Status, error) {
	var body statusBody
	err := json.Unmarshal(data, &body)
	return Status(body), err
}

// StatusBodies returns the JSON form of several statuses.
func StatusBodies(statuses []Status) any {
	bodies := make([]statusBody, len(statuses))
	for i, s := range statuses {
		bodies[i] = statusBody(s)
	}
	return bodies
}
