package fleet

// ReservationID names a reservation of endpoint memory within the account of its owner.
type ReservationID string

// Generation numbers the reservations that one request has had on one endpoint.
type Generation uint64
