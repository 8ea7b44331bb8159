package replicas

import "time"

// Notice is what a replica says about itself in the header of an answer.
type Notice struct {
	Leaving bool
	Pause   time.Duration // how long it wants nothing from the host that it answers; 0: no pause
	Limit   NamedLimit
	Brittle Brittleness
	Cold    time.Duration // how much longer it is cold; 0: it isn't, or doesn't say
}

// Brittleness is what a replica says that falls over where it rejects many requests.
type Brittleness struct {
	Named      bool
	Rejections int  // that it stands within a second, from all hosts together
	Malformed  bool // a value can't be read
}

// NamedLimit is the rate limit that a replica names in an answer: how many requests it takes from
// all hosts together, for as long as its answers name it.
type NamedLimit struct {
	Named     bool
	PerSecond float64 // not negative, and finite
	Malformed bool    // a value can't be read
}
