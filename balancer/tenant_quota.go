package balancer

const (
	quotaBurst = 20_000 // of a tenant's rate that may come at once: bursts of a few seconds are within its share
)

// exceedsQuota takes one of a tenant's share, a bucket filled at this part of its rate; true where none was left.
func (b *balancer) exceedsQuota(tenant int) bool {
	quota := b.settings.optionalNumber(b.settings.fieldName("Tenants", tenant, "QuotaPerS"), 0) / b.settings.number("Balancers") / 10_000
	if tenant >= len(b.tenants) || quota == 0 {
		return false
	}
	bucket := &b.tenants[tenant]
	bucket.tokens = min(bucket.tokens+quota*float64(b.now-bucket.updatedAt), 1+quota*quotaBurst)
	bucket.updatedAt = b.now
	if bucket.tokens < 1 {
		return true
	}
	bucket.tokens--
	return false
}

// tokenBucket is what a tenant has left of its share.
type tokenBucket struct {
	tokens    float64
	updatedAt int64
}
