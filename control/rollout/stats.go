package rollout

import "math/bits"

const (
	// LatencyBucketCount is the number of buckets of LatencyBucket: two for each doubling from 1 ms up to 65 s.
	LatencyBucketCount = 32
	// SubRequestBucketCount is the number of buckets of SubRequestBucket: two for each doubling from 1 up to 1,024.
	SubRequestBucketCount = 20
	// MaxClasses is how many search classes are compared, the first ones of the plan. Their counters fit into an entry.
	MaxClasses = 8

	latencyBucketUnit = 10 // resolution of LatencyBucket in timeUnit, 1 ms
)

// ClassStats are an instance's counters of one search class since it began to serve. They only rise, and are published
// from the end of the warm-up on.
type ClassStats struct {
	Requests    uint64                        `cbor:"1,keyasint"`
	Served      uint64                        `cbor:"2,keyasint"`
	Late        uint64                        `cbor:"3,keyasint"` // part of Served
	Shed        uint64                        `cbor:"4,keyasint"`
	Latencies   [LatencyBucketCount]uint64    `cbor:"5,keyasint"` // answers by LatencyBucket
	SubRequests [SubRequestBucketCount]uint64 `cbor:"6,keyasint"` // searches by SubRequestBucket
}

// InstanceStats are the counters of an instance.
type InstanceStats struct {
	Classes     []ClassStats `cbor:"1,keyasint"`
	Connections uint64       `cbor:"2,keyasint"` // opened to hosts
	MemoryBytes uint64       `cbor:"3,keyasint"` // in use now; the only value that may fall
}

// LatencyBucket returns the bucket of an answer's duration.
func LatencyBucket(duration int64) int {
	return logBucket(uint64(max(0, duration)/latencyBucketUnit), LatencyBucketCount)
}

// SubRequestBucket returns the bucket of a search's number of sub-requests.
func SubRequestBucket(count int) int { return logBucket(uint64(max(0, count)), SubRequestBucketCount) }

// logBucket returns bucket 0 for 0. From 1 on, each doubling has two buckets; values past the last bucket count in it.
func logBucket(value uint64, bucketCount int) int {
	if value == 0 {
		return 0
	}
	exponent := bits.Len64(value) - 1
	bucket := 1 + 2*exponent
	if exponent > 0 && value>>(exponent-1)&1 == 1 { // the upper half of the doubling
		bucket++
	}
	return min(bucket, bucketCount-1)
}

// addIncrease adds what was counted between two states of an instance's counters.
func (s *ClassStats) addIncrease(current, previous *ClassStats) {
	s.Requests += current.Requests - previous.Requests
	s.Served += current.Served - previous.Served
	s.Late += current.Late - previous.Late
	s.Shed += current.Shed - previous.Shed
	for i := range s.Latencies {
		s.Latencies[i] += current.Latencies[i] - previous.Latencies[i]
	}
	for i := range s.SubRequests {
		s.SubRequests[i] += current.SubRequests[i] - previous.SubRequests[i]
	}
}

// hasOnlyRisen reports whether no counter is below its previous value. If one is, the two states are of different
// incarnations, or the counters are wrong.
func (s *ClassStats) hasOnlyRisen(previous *ClassStats) bool {
	for i := range s.Latencies {
		if s.Latencies[i] < previous.Latencies[i] {
			return false
		}
	}
	for i := range s.SubRequests {
		if s.SubRequests[i] < previous.SubRequests[i] {
			return false
		}
	}
	return s.Requests >= previous.Requests && s.Served >= previous.Served && s.Late >= previous.Late && s.Shed >= previous.Shed
}
