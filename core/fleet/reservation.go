package fleet

// ReservationID identifies a reservation of endpoint memory at its owner.
type ReservationID string

// Generation distinguishes the reservations of one request on one endpoint.
type Generation uint64
