package retry

// watch is told of the next death that is noted of one request.
type watch struct {
	died chan struct{}
}

// Watch returns a channel that is closed once another death is noted of the request, here or elsewhere, and a
// function that ends the watch.
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

// unwatch ends a watch.
func (s *Suspects) unwatch(fingerprint Fingerprint, w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches[fingerprint], w)
	if len(s.watches[fingerprint]) == 0 {
		delete(s.watches, fingerprint)
	}
}

// tell closes the channels of all who watch a request; the caller holds the lock.
func (s *Suspects) tell(fingerprint Fingerprint) {
	for w := range s.watches[fingerprint] {
		close(w.died)
	}
	delete(s.watches, fingerprint)
}

// BeginTrial reports whether the one trial of a request may begin; EndTrial must follow if so.
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

// EndTrial lets the next trial of a request begin.
func (s *Suspects) EndTrial(fingerprint Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.trials, fingerprint)
}
