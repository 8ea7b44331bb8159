package pick

import "gentiancroft/internal/core"

// twoChoices returns the better of two random candidates, so that hosts with the
// same stale view don't all choose the one with the lowest published load.
func twoChoices(all []Candidate, rng *core.Rand, score func(*Candidate) float64) (int, string) {
	if len(all) == 1 {
		return 0, "only_one"
	}
	i := rng.IntN(len(all))
	j := rng.IntN(len(all) - 1)
	if j >= i {
		j++
	}
	if score(&all[j]) > score(&all[i]) {
		i = j
	}
	return i, "better_of_two"
}
