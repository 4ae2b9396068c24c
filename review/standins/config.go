package main

// Names of the desired state in the cases.
const (
	modelService = "huvo11a"
	plainService = "wuno96b"
	streamPath   = "/lohu930/"
	unsafePath   = "/puxa403/"
	safePath     = "/cufi504/"
	key          = "n2ctnfzs989anu6wsjnb"
)

// desiredState returns a desired state of the form that the pages show: a stream, an unsafe and a safe route.
func desiredState(version int, resumable bool) map[string]any {
	stream := map[string]any{
		"name": "r-stream", "host": host, "prefix": streamPath, "kind": "stream", "timeoutMs": 10000, "goalMs": 300, "priority": 1,
		"service": modelService, "maxAttempts": 2, "public": false, "sticky": true, "resumable": resumable, "gapGoalMs": 250,
	}
	unsafe := map[string]any{
		"name": "r-unsafe", "host": host, "prefix": unsafePath, "kind": "unsafe", "timeoutMs": 1000, "goalMs": 150, "priority": 2,
		"service": plainService, "maxAttempts": 2, "public": false,
	}
	safe := map[string]any{
		"name": "r-safe", "host": host, "prefix": safePath, "kind": "safe", "timeoutMs": 1000, "goalMs": 150, "priority": 2,
		"service": plainService, "maxAttempts": 2, "public": false,
	}
	engine := map[string]any{
		"slots": 16, "kvCapacity": 315000, "kvBytes": 163840, "linkMbps": 400000.0, "stride": 51,
		"models": []any{map[string]any{"name": "m"}}, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
		"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 8,
		"delays": []any{}, "usual": map[string]any{"prompt": 11104, "answer": 1622}, "hopMs": 0.05,
	}
	return map[string]any{
		"version": version,
		"routes":  []any{stream, unsafe, safe},
		"services": []any{
			map[string]any{
				"name": modelService, "healthPath": "/health", "maxConns": 234, "protocol": "h1", "tls": false, "coldS": 3.0,
				"coldPerS": 26.0, "engine": engine,
			},
			map[string]any{
				"name": plainService, "healthPath": "/health", "maxConns": 51, "protocol": "h1", "tls": false, "coldS": 0.0,
				"coldPerS": 0.0,
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []any{key}, "priority": 1}},
	}
}
