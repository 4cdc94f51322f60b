package scheduler

import (
	"math/bits"
)

// pcg is a permuted congruential generator (PCG-XSH-RR 64/32).
type pcg uint64

func (p *pcg) float() float64 {
	old := uint64(*p)
	*p = pcg(old*6364136223846793005 + 1442695040888963407)
	return float64(bits.RotateLeft32(uint32(((old>>18)^old)>>27), -int(old>>59))) / (1 << 32)
}
