package timeline

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Kind tells what happened.
type Kind string

// The kinds of events.
const (
	// KindRequestArrived means that a caller's request was read and authenticated.
	KindRequestArrived Kind = "request_arrived"
	// KindRequestDone means that the whole answer was passed on.
	KindRequestDone Kind = "request_done"
	// KindRequestFailed means that the caller got a final failure.
	KindRequestFailed Kind = "request_failed"
	// KindReservationGranted means that the owner granted memory on an endpoint.
	KindReservationGranted Kind = "reservation_granted"
	// KindReservationRefused means that the owner refused.
	KindReservationRefused Kind = "reservation_refused"
	// KindAttemptStarted means that the endpoint took an attempt.
	KindAttemptStarted Kind = "attempt_started"
	// KindFirstToken means that the first token of an attempt came.
	KindFirstToken Kind = "first_token"
	// KindAttemptEnded means that an attempt ended.
	KindAttemptEnded Kind = "attempt_ended"
	// KindAnswerDropped means that a late or crossed answer was dropped.
	KindAnswerDropped Kind = "answer_dropped"
	// KindEndpointDied means that an endpoint was found dead while it ran an attempt.
	KindEndpointDied Kind = "endpoint_died"
	// KindSuspected means that a request is suspected of crashing endpoints.
	KindSuspected Kind = "suspected"
	// KindQuarantined means that a request is not run any more since it crashes endpoints.
	KindQuarantined Kind = "quarantined"
	// KindCleared means that a suspected request finished.
	KindCleared Kind = "cleared"
	// KindOwnershipAcquired means that this entry owns an endpoint from now on.
	KindOwnershipAcquired Kind = "ownership_taken"
	// KindOwnershipReleased means that this entry owns an endpoint no more.
	KindOwnershipReleased Kind = "ownership_given"
	// KindWarmthChanged means that an endpoint of this entry turned cold or warm.
	KindWarmthChanged Kind = "warmth"
	// KindConfigurationApplied means that a configuration came into force.
	KindConfigurationApplied Kind = "configuration"
	// KindZoneChanged means that operators took an availability zone out or back.
	KindZoneChanged Kind = "zone"
	// KindMemberChanged means that an entry was found alive, suspected, dead or leaving.
	KindMemberChanged Kind = "member"
	// KindEntryStarted means that this entry serves.
	KindEntryStarted Kind = "entry_started"
	// KindEntryStopping means that this entry shuts down gracefully.
	KindEntryStopping Kind = "entry_stopping"
)

// Event is one thing that happened in one process; fields that do not apply are zero.
type Event struct {
	// Timestamp orders the event.
	Timestamp Timestamp
	// Sequence numbers the events of one process from 1.
	Sequence uint64
	// Entry is the entry in which it happened.
	Entry fleet.EntryID
	// Kind tells what happened.
	Kind Kind
	// Request names the request concerned.
	Request fleet.RequestID
	// Attempt names the attempt concerned.
	Attempt fleet.AttemptID
	// Endpoint is the endpoint concerned.
	Endpoint fleet.EndpointID
	// Account is the client account concerned.
	Account fleet.AccountID
	// Class is the request class concerned.
	Class fleet.ClassName
	// Zone is the availability zone concerned.
	Zone fleet.Zone
	// Peer is another entry concerned.
	Peer fleet.EntryID
	// Reason is a short code that tells why.
	Reason string
	// Tokens counts prompt or generated tokens.
	Tokens fleet.Tokens
	// Duration is how long it took.
	Duration time.Duration
	// RetryAfter is the time to come back that a refusal gave.
	RetryAfter time.Duration
	// Predicted is the time to the first token that decided a refusal.
	Predicted time.Duration
	// Revision is the revision concerned.
	Revision uint64
}
