package operator

import (
	"encoding/json"

	"github.com/kataras/iris/v12"

	"wisteriadyke/core/fleet"
)

// Status describes one entry, and the zones, entries and endpoints that it knows, for operators.
type Status struct {
	// Entry is the ID of the entry.
	Entry fleet.EntryID
	// Zone is the availability zone of the entry.
	Zone fleet.Zone
	// Ready reports whether the entry accepts new requests.
	Ready bool
	// ConfigurationRevision is the revision of the entry's current configuration, or 0 if it has none.
	ConfigurationRevision uint64
	// Zones contains the availability zones that an operator has changed.
	Zones []ZoneStatus
	// Entries contains the entries that this entry knows.
	Entries []EntryStatus
	// Endpoints contains the endpoints that this entry knows.
	Endpoints []EndpointStatus
	// OnTrial is the number of requests that may run only on trial, because an endpoint died while running them. It is
	// 0 for an entry without trials.
	OnTrial int
	// Quarantined is the number of requests that are not run any more, because too many endpoints died while running
	// them.
	Quarantined int
	// Tables describes how the entry reads the tables of the platform's store; nil if it doesn't read them as a gateway.
	Tables *TablesStatus
}

// TablesStatus is how an entry reads the tables of the platform's store.
type TablesStatus struct {
	// Relay is the entry through which it reads, or "" if it reads from the store.
	Relay fleet.EntryID `json:"relay"`
	// Readers is the number of polls of other entries that it holds.
	Readers int `json:"readers"`
	// Era is the latest era of the store that it knows.
	Era int64 `json:"era"`
	// ConfirmedAgeMs is the time since its configuration was confirmed to be the newest, or -1 if it never was.
	ConfirmedAgeMs int64 `json:"confirmed_age_ms"`
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

// EndpointStatus is the state of an endpoint as known to the reporting entry. Where endpoints have owners, only the
// owner knows Used, Running, Queue, Warmth and ColdLimit. Fields that the entry doesn't know are zero.
type EndpointStatus struct {
	Endpoint fleet.EndpointID `json:"endpoint"`
	Zone     fleet.Zone       `json:"zone"`
	Pool     fleet.PoolName   `json:"pool"`
	State    fleet.State      `json:"state"`
	// Owner is the entry that owns the endpoint, or "" if none does.
	Owner fleet.EntryID `json:"owner,omitempty"`
	// Owned reports whether the reporting entry owns the endpoint.
	Owned bool `json:"owned"`
	// Memory is the size of the KV cache, and Used the part of it that is reserved or in use.
	Memory fleet.Tokens `json:"memory,omitempty"`
	Used   fleet.Tokens `json:"used,omitempty"`
	// Running is the number of running requests, and Queue that of queued ones.
	Running int `json:"running,omitempty"`
	Queue   int `json:"queue,omitempty"`
	// Warmth is "warm", "cold" or "resynchronizing".
	Warmth string `json:"warmth,omitempty"`
	// ColdLimit is the maximum number of concurrent attempts while the endpoint is cold.
	ColdLimit int `json:"cold_limit,omitempty"`
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
	OnTrial               int              `json:"suspects"`
	Quarantined           int              `json:"quarantined"`
	Tables                *TablesStatus    `json:"tables,omitempty"`
}

// handleStatus serves GET /v1/status with one JSON object.
func (s *Server) handleStatus(ctx iris.Context) {
	status := s.Status()
	status.Ready = s.ready.Load()
	_ = ctx.JSON(statusBody(status))
}

// DecodeStatus decodes the body of a response to GET /v1/status. The error is that of encoding/json.
func DecodeStatus(data []byte) (Status, error) {
	var body statusBody
	err := json.Unmarshal(data, &body)
	return Status(body), err
}

// StatusBodies returns several statuses as a value that encoding/json encodes to an array in the form of GET
// /v1/status.
func StatusBodies(statuses []Status) any {
	bodies := make([]statusBody, len(statuses))
	for i, s := range statuses {
		bodies[i] = statusBody(s)
	}
	return bodies
}
