package rollout

import "math/bits"

const (
	// LatencyBucketCount is the number of LatencyBucket values: two for each doubling from 1 ms, up to 65 s.
	LatencyBucketCount = 32
	// SubRequestBucketCount is the number of SubRequestBucket values: two for each doubling from 1, up to 1,024.
	SubRequestBucketCount = 20
	// MaxClasses is how many classes of searches are compared, the first ones of the plan. Their counters fit an entry.
	MaxClasses = 8

	latencyBucketUnit = 10 // times in a unit of LatencyBucket, 1 ms
)

// ClassStats are an instance's counters of one class of searches since the end of its warm-up. They only rise.
type ClassStats struct {
	Requests    uint64                        `cbor:"1,keyasint"`
	Served      uint64                        `cbor:"2,keyasint"`
	Late        uint64                        `cbor:"3,keyasint"` // of the served ones
	Shed        uint64                        `cbor:"4,keyasint"`
	Latencies   [LatencyBucketCount]uint64    `cbor:"5,keyasint"` // answers by LatencyBucket
	SubRequests [SubRequestBucketCount]uint64 `cbor:"6,keyasint"` // searches by SubRequestBucket
}

// InstanceStats are all counters of an instance.
type InstanceStats struct {
	Classes     []ClassStats `cbor:"1,keyasint"`
	Connections uint64       `cbor:"2,keyasint"` // that it has opened to hosts
	MemoryBytes uint64       `cbor:"3,keyasint"` // in use at present; the only value that may fall
}

// LatencyBucket is the bucket of an answer's duration.
func LatencyBucket(duration int64) int {
	return logBucket(uint64(max(0, duration)/latencyBucketUnit), LatencyBucketCount)
}

// SubRequestBucket is the bucket of a search's number of sub-requests.
func SubRequestBucket(count int) int { return logBucket(uint64(max(0, count)), SubRequestBucketCount) }

// logBucket is 0 for 0; from there each doubling has two buckets. Values past the last bucket fall into it.
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

// hasOnlyRisen reports whether no counter is below its previous value. Otherwise the two states are not of one
// incarnation, or the counters are wrong.
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
