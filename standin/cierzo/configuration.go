package cierzo

import (
	"encoding/base64"
	"encoding/json"
)

// defaultColdRate is the number of requests per second that a cold engine takes, unless a configuration names another one.
const defaultColdRate = 300

// Route is the JSON form of a route in a configuration.
type Route map[string]any

// Figures is the JSON form of the published performance figures of an engine.
type Figures map[string]any

// Configuration writes a configuration to the store, with a pool of engines, a pool of plain services, the given routes
// and the API keys of each client account.
func Configuration(s *Store, version int, keys map[string][]string, routes ...Route) {
	configurationWith(s, version, keys, figures(4), defaultColdRate, routes)
}

// ColdConfiguration is like Configuration, but publishes the requests per second that a cold engine takes.
func ColdConfiguration(s *Store, version int, coldPerSecond float64, keys map[string][]string, routes ...Route) {
	configurationWith(s, version, keys, figures(4), coldPerSecond, routes)
}

// ContendedConfiguration is like Configuration, with ContendedRoutes if no routes are given, but the pool of engines is
// contended: it publishes 12 slots and mean lengths with which a full engine frees a slot more slowly than the quick
// streams can wait for.
func ContendedConfiguration(s *Store, version int, keys map[string][]string, routes ...Route) {
	if len(routes) == 0 {
		routes = ContendedRoutes()
	}
	engine := figures(12)
	engine["kvCapacity"] = 267_750
	engine["step_ms"] = 1.0
	engine["usual"] = map[string]any{"prompt": 14_000, "answer": 1_700}
	configurationWith(s, version, keys, engine, defaultColdRate, routes)
}

// configurationWith writes a configuration to the store.
func configurationWith(
	s *Store, version int, keys map[string][]string, engine Figures, coldPerSecond float64, routes []Route,
) {
	accounts := []map[string]any{}
	for name, list := range keys {
		accounts = append(accounts, map[string]any{"name": name, "apiKeys": list, "priority": 1})
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "tenants": accounts,
		"services": []map[string]any{
			{"name": "engines", "maxConns": 100, "coldS": 1, "coldPerS": coldPerSecond, "engine": engine},
			{"name": "services", "maxConns": 100},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	})
	s.Put("op", "config", base64.StdEncoding.EncodeToString(value))
}

// figures returns the published figures of an engine, without mean lengths.
func figures(slots int) Figures {
	return Figures{
		"slots": slots, "kvCapacity": 100000, "stride": 51, "step_ms": 0.85, "per_seq_ms": 0.004, "context_per_k": 0.003,
		"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048,
	}
}

// Routes returns one route of each kind for the host "app.example": streams under "/s/", safe calls under "/r/" and
// unsafe calls under "/u/".
func Routes() []Route {
	return []Route{
		{"name": "s", "host": "app.example", "prefix": "/s/", "kind": "stream", "timeoutMs": 5000, "goalMs": 300, "priority": 1,
			"service": "engines", "maxAttempts": 2, "sticky": true, "resumable": true, "gapGoalMs": 250},
		{"name": "r", "host": "app.example", "prefix": "/r/", "kind": "safe", "timeoutMs": 2000, "goalMs": 150, "priority": 2,
			"service": "services", "maxAttempts": 2},
		{"name": "u", "host": "app.example", "prefix": "/u/", "kind": "unsafe", "timeoutMs": 2000, "goalMs": 150, "priority": 2,
			"service": "services", "maxAttempts": 1},
	}
}

// ContendedRoutes returns the routes of ContendedConfiguration for the host "app.example": quick streams under "/q/" with
// an objective of 300 ms, long ones under "/l/", safe calls under "/r/" and unsafe calls under "/u/".
func ContendedRoutes() []Route {
	stream := func(name string, timeoutMs, goalMs, gapGoalMs, priority int) Route {
		return Route{"name": name, "host": "app.example", "prefix": "/" + name + "/", "kind": "stream", "timeoutMs": timeoutMs,
			"goalMs": goalMs, "gapGoalMs": gapGoalMs, "priority": priority, "service": "engines", "maxAttempts": 2,
			"sticky": true, "resumable": true}
	}
	return append([]Route{stream("q", 10_000, 300, 250, 0), stream("l", 15_000, 8_000, 1_000, 2)}, Routes()[1:]...)
}
