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

// Claims handles the claims of other entries.
type Claims interface {
	// HandleClaim hands an endpoint over to the entry by, denies the claim, or returns the entry that may own it.
	HandleClaim(by fleet.EntryID, id fleet.EndpointID) ownership.ClaimReply
}

// Claim asks the entry at an address to relinquish an endpoint to the entry by.
func (c *Client) Claim(
	ctx context.Context, to netip.AddrPort, by fleet.EntryID, id fleet.EndpointID,
) (ownership.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	conn := c.gossipConn(ctx, to)
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

// Claim handles a claim and encodes the handover with encoding/gob.
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
