// Package ownership decides which entry owns an endpoint and hands endpoints over between entries.
package ownership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"wisteriadyke/core/fleet"
)

// RendezvousOwner returns the live entry of the endpoint's availability zone that should own the endpoint, or "" if
// there is none. When an entry joins or leaves, only the endpoints that it gains or loses change their owner.
//
// Source: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM
// Transactions on Networking 6(1), 1998.
func RendezvousOwner(endpoint fleet.Endpoint, entries map[fleet.EntryID]fleet.Entry) fleet.EntryID {
	var owner fleet.EntryID
	var best uint64
	for id, entry := range entries {
		if entry.Zone != endpoint.Zone || entry.State != fleet.StateLive {
			continue
		}
		score := rendezvousScore(endpoint.ID, id)
		if owner == "" || score > best || score == best && id < owner {
			owner, best = id, score
		}
	}
	return owner
}

// RankOwners returns up to count live entries of the endpoint's availability zone, in the order in which they would own
// the endpoint if those before them had left. While the views of entries differ, the actual owner is most likely among
// the first.
func RankOwners(endpoint fleet.Endpoint, entries map[fleet.EntryID]fleet.Entry, count int) []fleet.EntryID {
	type candidate struct {
		entry fleet.EntryID
		score uint64
	}
	var candidates []candidate
	for id, entry := range entries {
		if entry.Zone == endpoint.Zone && entry.State == fleet.StateLive {
			candidates = append(candidates, candidate{entry: id, score: rendezvousScore(endpoint.ID, id)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.entry, b.entry))
	})
	ranked := make([]fleet.EntryID, min(count, len(candidates)))
	for i := range ranked {
		ranked[i] = candidates[i].entry
	}
	return ranked
}

// rendezvousScore returns the score of an entry for an endpoint; the live entry with the highest score should own it.
func rendezvousScore(endpoint fleet.EndpointID, entry fleet.EntryID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(endpoint))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(entry))
	return mixBits(h.Sum64())
}

// mixBits mixes all bits of a hash, since with FNV the last input bytes affect mainly the low bits.
//
// Source: the finalizer of MurmurHash3 by A. Appleby.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
