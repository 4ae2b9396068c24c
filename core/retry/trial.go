package retry

// watch is a subscription to the next death after which one request may no longer run as before, at which died is closed.
type watch struct {
	died chan struct{}
}

// Watch returns a channel that is closed once this or another entry has recorded another death for the request and it is on
// trial or quarantined, and a function that stops the watch. Where there are no trials, one or two deaths don't end the
// copies that run elsewhere, since new ones are let through as well.
func (s *Suspects) Watch(fingerprint Fingerprint) (died <-chan struct{}, stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &watch{died: make(chan struct{})}
	if s.watches == nil {
		s.watches = make(map[Fingerprint]map[*watch]struct{})
	}
	if s.watches[fingerprint] == nil {
		s.watches[fingerprint] = make(map[*watch]struct{})
	}
	s.watches[fingerprint][w] = struct{}{}
	return w.died, func() { s.unwatch(fingerprint, w) }
}

// unwatch removes a watch. It has no effect on one that notifyWatchers has already removed.
func (s *Suspects) unwatch(fingerprint Fingerprint, w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches[fingerprint], w)
	if len(s.watches[fingerprint]) == 0 {
		delete(s.watches, fingerprint)
	}
}

// notifyWatchers closes the channels of all watches of a request. The caller holds the lock.
func (s *Suspects) notifyWatchers(fingerprint Fingerprint) {
	for w := range s.watches[fingerprint] {
		close(w.died)
	}
	delete(s.watches, fingerprint)
}

// BeginTrial starts a trial of a request through this entry and returns true, or returns false if one is in progress.
// EndTrial must be called after the trial.
func (s *Suspects) BeginTrial(fingerprint Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.trials[fingerprint]; found {
		return false
	}
	if s.trials == nil {
		s.trials = make(map[Fingerprint]struct{})
	}
	s.trials[fingerprint] = struct{}{}
	return true
}

// EndTrial ends the trial of a request through this entry, so that the next one can begin.
func (s *Suspects) EndTrial(fingerprint Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.trials, fingerprint)
}
