package fleet

import "hash/fnv"

// Rank returns a hash of the ID of an endpoint or entry, by which all entries sort them in the same order.
func Rank[ID ~string](id ID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}
