package platform

import (
	"encoding/json"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
)

// maxScanRows bounds the rows of one scan.
const maxScanRows = 1000

// wireTransaction is the body of POST /v1/tables/transact. The stand-in ignores the token.
type wireTransaction struct {
	Token  string      `json:"token"`
	Writes []wireWrite `json:"writes"`
}

// wireWrite is the wire form of a Write.
type wireWrite struct {
	Table     string          `json:"table"`
	Key       string          `json:"key"`
	Value     json.RawMessage `json:"value,omitempty"`
	IfVersion int64           `json:"if_version"`
	Delete    bool            `json:"delete,omitempty"`
}

// wireVersions is the answer to an applied transaction.
type wireVersions struct {
	Versions []int64 `json:"versions"`
}

// wireConflicts is the answer to a transaction with conflicts.
type wireConflicts struct {
	Conflicts []wireRow `json:"conflicts"`
}

// wireRowKeys is the body of POST /v1/tables/read.
type wireRowKeys struct {
	Rows []wireRowKey `json:"rows"`
}

// wireRowKey is the wire form of a RowKey.
type wireRowKey struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// wireRows is the answer to a read or a scan.
type wireRows struct {
	Rows []wireRow `json:"rows"`
}

// wireRow is the wire form of a Row.
type wireRow struct {
	Table   string          `json:"table"`
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value,omitempty"`
	Version int64           `json:"version"`
}

// newWireConflicts returns the wire form of a ConflictError.
func newWireConflicts(e *ConflictError) wireConflicts {
	return wireConflicts{Conflicts: newWireRows(e.Rows)}
}

// newWireRows returns the wire form of rows.
func newWireRows(rows []Row) []wireRow {
	wire := make([]wireRow, len(rows))
	for i, r := range rows {
		wire[i] = wireRow{Table: r.Key.Table, Key: r.Key.Key, Value: r.Value, Version: r.Version}
	}
	return wire
}

// transact handles POST /v1/tables/transact.
func (s *Server) transact(c iris.Context) {
	var body wireTransaction
	if err := c.ReadJSON(&body); err != nil {
		writeError(c, errors.Wrap(err, "transaction body"))
		return
	}
	writes := make([]Write, len(body.Writes))
	for i, w := range body.Writes {
		writes[i] = Write{
			Key:       RowKey{Table: w.Table, Key: w.Key},
			Value:     w.Value,
			IfVersion: w.IfVersion,
			Delete:    w.Delete,
		}
	}
	versions, err := s.Store.Transact(writes)
	if err != nil {
		writeError(c, err)
		return
	}
	_ = c.JSON(wireVersions{Versions: versions})
}

// read handles POST /v1/tables/read.
func (s *Server) read(c iris.Context) {
	var body wireRowKeys
	if err := c.ReadJSON(&body); err != nil {
		writeError(c, errors.Wrap(err, "read body"))
		return
	}
	keys := make([]RowKey, len(body.Rows))
	for i, k := range body.Rows {
		keys[i] = RowKey(k)
	}
	rows, err := s.Store.Read(keys)
	if err != nil {
		writeError(c, err)
		return
	}
	_ = c.JSON(wireRows{Rows: newWireRows(rows)})
}

// scan handles GET /v1/tables/{table}.
func (s *Server) scan(c iris.Context) {
	limit := min(c.URLParamIntDefault("limit", maxScanRows), maxScanRows)
	rows, err := s.Store.Scan(c.Params().Get("table"), c.URLParam("prefix"), c.URLParam("after"), limit)
	if err != nil {
		writeError(c, err)
		return
	}
	_ = c.JSON(wireRows{Rows: newWireRows(rows)})
}
