package retry

import (
	"maps"
	"time"
)

// deathRetention is how long a death is remembered, far longer than the registry lists an endpoint that has ended.
const deathRetention = time.Minute

// Died reports whether an incarnation of an endpoint is known to have ended while a request ran there, whichever request.
func (s *Suspects) Died(death Death) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.deaths[death]
	return found
}

// addDeaths remembers deaths and forgets those older than deathRetention; the caller holds the lock.
func (s *Suspects) addDeaths(deaths []Death, now time.Time) {
	maps.DeleteFunc(s.deaths, func(_ Death, at time.Time) bool { return now.Sub(at) > deathRetention })
	for _, death := range deaths {
		if _, known := s.deaths[death]; known {
			continue
		}
		if s.deaths == nil {
			s.deaths = make(map[Death]time.Time)
		}
		s.deaths[death] = now
	}
}
