package platform

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
)

// wireInstance is the wire form of an Instance.
type wireInstance struct {
	ID          string         `json:"id"`
	Kind        fleet.Kind     `json:"kind"`
	Pool        fleet.PoolName `json:"pool"`
	Zone        fleet.Zone     `json:"zone"`
	Address     netip.AddrPort `json:"address"`
	State       fleet.State    `json:"state"`
	Memory      fleet.Tokens   `json:"memory"`
	ChecksFence bool           `json:"checks_fence"`
}

// listInstances handles GET /v1/instances.
func (s *Server) listInstances(c iris.Context) {
	if s.Store.Faults.Settings().Outage {
		writeError(c, ErrOutage)
		return
	}
	rows := s.Instances.List()
	wire := make([]wireInstance, len(rows))
	for i, r := range rows {
		wire[i] = wireInstance(r)
	}
	_ = c.JSON(wire)
}

// putInstance handles POST /control/instances, with which stand-ins register.
func (s *Server) putInstance(c iris.Context) {
	var body wireInstance
	if err := c.ReadJSON(&body); err != nil {
		writeError(c, errors.Wrap(err, "instance body"))
		return
	}
	if body.State == "" {
		body.State = fleet.StateLive
	}
	s.Instances.Put(Instance(body))
	c.StatusCode(http.StatusNoContent)
}

// removeInstance handles DELETE /control/instances/{id}.
func (s *Server) removeInstance(c iris.Context) {
	s.Instances.Remove(c.Params().Get("id"))
	c.StatusCode(http.StatusNoContent)
}

// wireControl is the body of POST /control. Absent fields change nothing.
type wireControl struct {
	Outage      *bool    `json:"outage"`
	DelayMS     *int64   `json:"delay_ms"`
	LoseAnswers *float64 `json:"lose_answers"`
	LagMS       *int64   `json:"lag_ms"`
	WriteLimit  *float64 `json:"write_limit"`
	ReadLimit   *float64 `json:"read_limit"`
}

// control handles POST /control.
func (s *Server) control(c iris.Context) {
	var body wireControl
	if err := c.ReadJSON(&body); err != nil {
		writeError(c, errors.Wrap(err, "control body"))
		return
	}
	if body.LagMS != nil {
		s.Instances.SetLag(time.Duration(*body.LagMS) * time.Millisecond)
	}
	s.Store.Faults.Set(body.apply(s.Store.Faults.Settings()))
	c.StatusCode(http.StatusNoContent)
}

// apply returns settings after replacing those that w contains. It ignores LagMS, which belongs to the instance list.
func (w wireControl) apply(settings FaultSettings) FaultSettings {
	setIfPresent(&settings.Outage, w.Outage)
	setIfPresent(&settings.LoseAnswers, w.LoseAnswers)
	setIfPresent(&settings.WriteLimit, w.WriteLimit)
	setIfPresent(&settings.ReadLimit, w.ReadLimit)
	if w.DelayMS != nil {
		settings.Delay = time.Duration(*w.DelayMS) * time.Millisecond
	}
	return settings
}

// setIfPresent sets target to *value unless value is nil.
func setIfPresent[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

// wireStats is the body of the answer to GET /control/stats.
type wireStats struct {
	Transactions int64 `json:"transactions"`
	Writes       int64 `json:"writes"`
	Reads        int64 `json:"reads"`
	Conflicts    int64 `json:"conflicts"`
	Throttled    int64 `json:"throttled"`
	LostAnswers  int64 `json:"lost_answers"`
}

// stats handles GET /control/stats.
func (s *Server) stats(c iris.Context) {
	_ = c.JSON(wireStats(s.Store.Stats()))
}
