package fleet

// ReservationID identifies a reservation at the entry that granted it.
type ReservationID string

// Generation distinguishes the reservations of one request on one endpoint.
type Generation uint64
