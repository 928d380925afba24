package ident

// Mix scrambles a hash so that each bit of the input affects about half of the bits of the
// output. It is the finalizer of splitmix64.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
