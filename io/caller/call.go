package caller

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"time"

	"github.com/kataras/iris/v12"

	"wisteriadyke/core/config"
	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/idempotency"
)

// idempotencyHeader is the header with the caller's idempotency key.
const idempotencyHeader = "Idempotency-Key"

// callBody is the JSON body of a call to a plain service.
type callBody struct {
	Body json.RawMessage `json:"body"`
}

// callResponse is the JSON body of the response to a call to a plain service.
type callResponse struct {
	RequestID fleet.RequestID `json:"request_id"`
	Result    json.RawMessage `json:"result"`
	Repeated  bool            `json:"repeated,omitempty"`
}

// handleCall serves POST /v1/calls/{class}.
func (s *Server) handleCall(ctx iris.Context) {
	configuration, account, ok := s.admitCaller(ctx)
	if !ok {
		return
	}
	name := fleet.ClassName(ctx.Params().Get("class"))
	class, found := configuration.Classes[name]
	if !found || class.Kind != fleet.KindService {
		writeRefusal(ctx, iris.StatusBadRequest, "unknown_class", fmt.Sprintf("class %q calls no plain service", name))
		return
	}
	key, err := idempotency.ParseKey(account.Name, ctx.GetHeader(idempotencyHeader))
	if class.AtMostOnce && err != nil {
		message := fmt.Sprintf("class %q needs an %s header that holds a UUID of version 7", name, idempotencyHeader)
		writeRefusal(ctx, iris.StatusBadRequest, "idempotency_key", message)
		return
	}
	var body callBody
	release, ok := s.readBody(ctx, &body)
	if !ok {
		return
	}
	defer release()
	now := time.Now()
	call := dispatch.Call{
		ID:             fleet.RequestID(rand.Text()),
		Account:        account.Name,
		Class:          class.Name,
		Operation:      classOperation(class),
		Pool:           class.Pool,
		AtMostOnce:     class.AtMostOnce,
		IdempotencyKey: key,
		Body:           body.Body,
		Deadline:       now.Add(class.FinishTimeout),
	}
	result, err := s.Caller.Call(ctx.Request().Context(), call)
	if err != nil {
		writeFailure(ctx, call.ID, asFailure(err))
		return
	}
	_ = ctx.JSON(callResponse{RequestID: call.ID, Result: result.Body, Repeated: result.Repeated})
}

// classOperation returns the declared operation of a class; the default is the name of the class.
func classOperation(class config.Class) string {
	if class.Operation != "" {
		return class.Operation
	}
	return string(class.Name)
}
