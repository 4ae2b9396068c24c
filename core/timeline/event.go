package timeline

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	// KindRequestArrived means that a caller's request was read and authenticated.
	KindRequestArrived Kind = "request_arrived"
	// KindRequestDone means that the caller received the complete answer.
	KindRequestDone Kind = "request_done"
	// KindRequestFailed means that the request failed.
	KindRequestFailed Kind = "request_failed"
	// KindReservationGranted means that an entry granted a reservation.
	KindReservationGranted Kind = "reservation_granted"
	// KindReservationRefused means that an entry refused a reservation or could not be reached.
	KindReservationRefused Kind = "reservation_refused"
	// KindAttemptStarted means that the endpoint accepted an attempt.
	KindAttemptStarted Kind = "attempt_started"
	// KindFirstToken means that the first token of an attempt arrived.
	KindFirstToken Kind = "first_token"
	// KindAttemptEnded means that an attempt ended.
	KindAttemptEnded Kind = "attempt_ended"
	// KindTokenDropped means that a token was dropped because the caller had already received it.
	KindTokenDropped Kind = "answer_dropped"
	// KindEndpointDied means that an endpoint was found dead while it ran an attempt.
	KindEndpointDied Kind = "endpoint_died"
	// KindSuspected means that a request is suspected of crashing endpoints.
	KindSuspected Kind = "suspected"
	// KindQuarantined means that a request is no longer run because it crashes endpoints.
	KindQuarantined Kind = "quarantined"
	// KindCleared means that a suspected request finished; it is never recorded.
	KindCleared Kind = "cleared"
	// KindOwnershipAcquired means that this entry has become the owner of an endpoint.
	KindOwnershipAcquired Kind = "ownership_taken"
	// KindOwnershipReleased means that this entry is no longer the owner of an endpoint.
	KindOwnershipReleased Kind = "ownership_given"
	// KindWarmthChanged means that an endpoint that this entry owns became cold or warm.
	KindWarmthChanged Kind = "warmth"
	// KindConfigurationApplied means that this entry applied a new configuration revision.
	KindConfigurationApplied Kind = "configuration"
	// KindZoneChanged means that operators drained or restored an availability zone.
	KindZoneChanged Kind = "zone"
	// KindMemberChanged means that an entry joined, disappeared, or changed its state.
	KindMemberChanged Kind = "member"
	// KindEntryStarted means that this entry has started to serve.
	KindEntryStarted Kind = "entry_started"
	// KindEntryStopping means that this entry has begun a graceful shutdown.
	KindEntryStopping Kind = "entry_stopping"
)

// Event is one event of one process; fields that do not apply are zero.
type Event struct {
	// Timestamp orders the event.
	Timestamp Timestamp
	// Sequence numbers the events of one process, starting at 1.
	Sequence uint64
	// Entry is the entry that recorded the event.
	Entry fleet.EntryID
	// Kind is the kind of the event.
	Kind Kind
	// Request identifies the request.
	Request fleet.RequestID
	// Attempt identifies the attempt.
	Attempt fleet.AttemptID
	// Endpoint is the ID of the endpoint.
	Endpoint fleet.EndpointID
	// Account is the client account.
	Account fleet.AccountID
	// Class is the request class.
	Class fleet.ClassName
	// Zone is the availability zone.
	Zone fleet.Zone
	// Peer is the entry that the event concerns: the one that granted a reservation, or the one that changed.
	Peer fleet.EntryID
	// Reason is a short code for the cause.
	Reason string
	// Tokens is a number of prompt or generated tokens.
	Tokens fleet.Tokens
	// Duration is how long the operation took.
	Duration time.Duration
	// RetryAfter is how long to wait before a retry, as given by a refusal.
	RetryAfter time.Duration
	// Predicted is the predicted time to the first token that led to a refusal.
	Predicted time.Duration
	// Revision is a configuration or zone revision, or a fencing token for ownership events.
	Revision uint64
}
