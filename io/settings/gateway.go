package settings

import (
	"net/netip"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonfile"
)

// Gateway contains the settings of one entry on the Cierzo platform.
type Gateway struct {
	// Entry is the ID of the entry.
	Entry fleet.EntryID `json:"entry" check:"required,name"`
	// Zone is the availability zone of the entry.
	Zone fleet.Zone `json:"zone" check:"required,name"`
	// Region is the region of the zone. Entries pass requests on within their region only.
	Region fleet.Region `json:"region"`
	// CallerAddress is the listen address for callers.
	CallerAddress netip.AddrPort `json:"caller_address" check:"required"`
	// ReadyAddress is the listen address for the readiness probes of the balancer.
	ReadyAddress netip.AddrPort `json:"ready_address" check:"required"`
	// PeerAddress is the listen address for other entries.
	PeerAddress netip.AddrPort `json:"peer_address" check:"required"`
	// PublicPeerAddress is the address under which other entries reach PeerAddress, if it differs.
	PublicPeerAddress netip.AddrPort `json:"public_peer_address"`
	// OperatorAddress is the listen address for operators, who get metrics, status and timeline there without a key.
	OperatorAddress netip.AddrPort `json:"metrics_address" check:"required"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `json:"store" check:"required"`
	// FirstStart specifies that the whole deployment starts for the first time, so that no entry is registered yet.
	FirstStart bool `json:"first_start"`
	// RevokeTime is how long an API key may still be accepted after its removal was acknowledged.
	RevokeTime time.Duration `json:"revoke_time" check:"default=5s,min=1s,max=1h"`
	// DrainTime is how long an endpoint goes on serving after the store has accepted that it leaves. No request may reach it later.
	DrainTime time.Duration `json:"drain_time" check:"default=2s,min=500ms,max=1h"`
	// ReportInterval is the interval at which endpoints write their rows to the store.
	ReportInterval time.Duration `json:"report_interval" check:"default=1200ms,min=100ms,max=1h"`
	// GraceTime is the time between the signal to stop and the end of the process.
	GraceTime time.Duration `json:"grace_time" check:"default=8s,min=1s,max=10m"`
	// BalancerDelay is the time until the balancer stops sending new connections to an entry that is not ready.
	BalancerDelay time.Duration `json:"balancer_delay" check:"default=2500ms,min=0s,max=5m"`
	// RetryRatio is the number of retries that each request adds to the retry budget.
	RetryRatio float64 `json:"retry_ratio" check:"default=0.1,min=0,max=1"`
	// RetryBurst is the largest number of retries that the budgets of all entries together can hold.
	RetryBurst float64 `json:"retry_burst" check:"default=50,min=0,max=100000"`
	// ColdFactor times the cold rate of a pool is the number of requests per second that all entries together may send
	// to a cold endpoint.
	ColdFactor float64 `json:"cold_factor" check:"default=1,min=1,max=10"`
	// Processor is the number of CPU cores of the process, which may be a fraction; entries with more cores are
	// preferred as those that choose endpoints for the others.
	Processor float64 `json:"processor" check:"default=1,min=0.01,max=1024"`
	// Memory is the memory of the process in MiB.
	Memory int `json:"memory_mib" check:"default=256,min=32,max=1048576"`
	// MaxFDs is the maximum number of file descriptors of the process.
	MaxFDs int `json:"max_fds" check:"default=4096,min=256,max=1048576"`
	// Contracts holds the names of the optional parts of the platform's rules that are in force. Unknown names are
	// ignored, since the platform may add parts that don't concern entries.
	Contracts []string `json:"contracts"`
	// LogLevel is the lowest level of messages to log.
	LogLevel string `json:"log_level" check:"default=info,oneof=debug|info|warn|error"`
}

// ReadGateway reads and checks the settings file of an entry on the Cierzo platform. The error is of type
// jsonfile.Faults and contains all faults.
func ReadGateway(path string) (Gateway, error) {
	var gateway Gateway
	file := jsonfile.ReadFile(path, &gateway)
	for _, a := range []addressField{
		{"caller_address", gateway.CallerAddress},
		{"ready_address", gateway.ReadyAddress},
		{"peer_address", gateway.PeerAddress},
		{"metrics_address", gateway.OperatorAddress},
		{"store", gateway.Store},
	} {
		checkPort(file, a)
	}
	return gateway, file.Faults().Err()
}

// GatewayReference returns the fields of the settings file of an entry on the Cierzo platform for the reference page.
func GatewayReference() []jsonfile.Field {
	return jsonfile.Reference(Gateway{})
}
