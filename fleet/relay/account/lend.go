package account

// Give counts tokens out for a peer before they are sent: what it needs, or all
// that is free if that is less, and of what it wants beyond that so much as
// leaves this node its half.
func (p *Purse) Give(tenant string, need, want int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.pocket(tenant)
	free := max(k.free(), 0)
	tokens := max(min(free, max(need, min(want, free/2))), 0)
	k.lent += tokens
	if k.clients > 0 && tokens < want/2 {
		k.short = max(k.short, want-tokens)
		p.short = p.short || k.pool > 0
	}
	return tokens
}

// Take counts tokens in that a peer has given. The caller sees to it that each
// gift is counted once.
func (p *Purse) Take(tenant string, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pocket(tenant).lent -= tokens
}
