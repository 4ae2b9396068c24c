package settings

import (
	"net/netip"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonfile"
)

// Gateway holds the settings of one entry on the Cierzo platform.
type Gateway struct {
	// Entry names the entry.
	Entry fleet.EntryID `json:"entry" check:"required,name"`
	// Zone is its availability zone.
	Zone fleet.Zone `json:"zone" check:"required,name"`
	// CallerAddress is where it serves callers.
	CallerAddress netip.AddrPort `json:"caller_address" check:"required"`
	// ReadyAddress is where the balancer asks whether it takes new connections.
	ReadyAddress netip.AddrPort `json:"ready_address" check:"required"`
	// PeerAddress is where it answers other entries.
	PeerAddress netip.AddrPort `json:"peer_address" check:"required"`
	// PublicPeerAddress is where other entries reach PeerAddress, if that is another address.
	PublicPeerAddress netip.AddrPort `json:"public_peer_address"`
	// MetricsAddress is where it serves its metrics.
	MetricsAddress netip.AddrPort `json:"metrics_address" check:"required"`
	// Store is where the platform's store answers.
	Store netip.AddrPort `json:"store" check:"required"`
	// RevokeTime is how long a key may be accepted after its removal was acknowledged.
	RevokeTime time.Duration `json:"revoke_time" check:"default=5s,min=1s,max=1h"`
	// GraceTime is how long the process has between the signal to stop and its end.
	GraceTime time.Duration `json:"grace_time" check:"default=8s,min=1s,max=10m"`
	// BalancerDelay is how long the balancer takes to send no new connections to an entry that is not ready.
	BalancerDelay time.Duration `json:"balancer_delay" check:"default=2500ms,min=0s,max=5m"`
	// RetryRatio is the number of retries that each request earns.
	RetryRatio float64 `json:"retry_ratio" check:"default=0.1,min=0,max=1"`
	// RetryBurst is the number of retries that all entries together can save up.
	RetryBurst float64 `json:"retry_burst" check:"default=50,min=0,max=100000"`
	// ColdFactor is how far beyond its cold rate an endpoint may be loaded within a second.
	ColdFactor float64 `json:"cold_factor" check:"default=1,min=1,max=10"`
	// Processor is the share of a processor core that the process has; entries with more choose endpoints for the others.
	Processor float64 `json:"processor" check:"default=1,min=0.01,max=1024"`
	// Memory is the memory of the process in MiB.
	Memory int `json:"memory_mib" check:"default=256,min=32,max=1048576"`
	// LogLevel is the least level of messages that are logged.
	LogLevel string `json:"log_level" check:"default=info,oneof=debug|info|warn|error"`
}

// ReadGateway reads the settings file of an entry on the Cierzo platform; the error is of type jsonfile.Faults.
func ReadGateway(path string) (Gateway, error) {
	var gateway Gateway
	file := jsonfile.ReadFile(path, &gateway)
	for _, a := range []address{
		{"caller_address", gateway.CallerAddress},
		{"ready_address", gateway.ReadyAddress},
		{"peer_address", gateway.PeerAddress},
		{"metrics_address", gateway.MetricsAddress},
		{"store", gateway.Store},
	} {
		checkPort(file, a)
	}
	return gateway, file.Faults().Err()
}

// GatewayReference returns the fields of the settings file of an entry on the Cierzo platform.
func GatewayReference() []jsonfile.Field {
	return jsonfile.Reference(Gateway{})
}
