package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ownership"
	"wisteriadyke/core/scheduler"
)

// claimTimeout bounds one claim RPC.
const claimTimeout = time.Second

// Claims answers claims from other entries.
type Claims interface {
	// HandleClaim answers a claim by another entry: it hands the endpoint over, denies the claim, or names the entry
	// that may own the endpoint.
	HandleClaim(by fleet.EntryID, id fleet.EndpointID) ownership.ClaimReply
}

// Claim sends the claim of an endpoint to the entry at an address and returns its reply. The parameter by names the
// entry that claims the endpoint.
func (c *Client) Claim(
	ctx context.Context, to netip.AddrPort, by fleet.EntryID, id fleet.EndpointID,
) (ownership.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	conn := c.shortCallConn(ctx, to)
	reply, err := NewDRPCClaimClient(conn).Claim(ctx, &ClaimRequest{Claimant: string(by), Endpoint: string(id)})
	if err != nil {
		return ownership.ClaimReply{}, errors.Wrapf(err, "claim %s from %s", id, to)
	}
	answer := ownership.ClaimReply{Denied: reply.Kept}
	if reply.Owner != nil {
		answer.Owner = fromEntryRecord(reply.Owner)
	}
	if len(reply.Handover) > 0 {
		answer.Handover = &scheduler.Handover{}
		err = gob.NewDecoder(bytes.NewReader(reply.Handover)).Decode(answer.Handover)
	}
	return answer, errors.Wrapf(err, "handover of %s", id)
}

// claimHandler implements the Claim service.
type claimHandler struct {
	claims Claims
}

// Claim answers a claim. The handover in the reply is encoded with encoding/gob.
func (h *claimHandler) Claim(_ context.Context, m *ClaimRequest) (*ClaimReply, error) {
	answer := h.claims.HandleClaim(fleet.EntryID(m.Claimant), fleet.EndpointID(m.Endpoint))
	reply := &ClaimReply{Kept: answer.Denied}
	if answer.Owner.ID != "" {
		reply.Owner = toEntryRecord(answer.Owner)
	}
	if answer.Handover == nil {
		return reply, nil
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(answer.Handover); err != nil {
		return nil, errors.Wrapf(err, "handover of %s", m.Endpoint)
	}
	reply.Handover = b.Bytes()
	return reply, nil
}
