package balancer

// quotaBurst is how much of a tenant's rate may come at once, in tenths of a millisecond: a burst of 2 s is within the
// quota.
const quotaBurst = 2 * second

// tenantQuotas holds a token bucket for each tenant.
type tenantQuotas []tokenBucket

type tokenBucket struct {
	tokens    float64
	updatedAt int64
}

// take takes a token from a bucket that fills with rate tokens per tenth of a millisecond, and tells whether there was
// one.
func (t *tokenBucket) take(now int64, rate float64) bool {
	t.tokens = min(t.tokens+rate*float64(now-t.updatedAt), 1+rate*quotaBurst)
	t.updatedAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// exceedsQuota charges a search to its tenant and tells whether it exceeds this coordinator's part of the tenant's
// quota. Tenants without a quota never exceed it. Searches over the quota are shed first, and only while searches wait:
// a heavy tenant must not take capacity from the others, but may use what nobody else needs.
func (b *balancer) exceedsQuota(tenant int) bool {
	perSecond := b.settings.optionalNumber(b.settings.fieldName(listTenants, tenant, fieldQuota), 0)
	rate := perSecond / b.settings.number(settingBalancers) / second
	if tenant >= len(b.quotas) || rate == 0 {
		return false
	}
	return !b.quotas[tenant].take(b.now, rate)
}
