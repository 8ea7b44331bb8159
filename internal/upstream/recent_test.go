package upstream

import (
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

// Guards against a refusal that is written once more (issue 54): it passed for the answer to a later
// request with the same id on the same connection, which then ran although its caller was told that it
// had not.
func TestCopyOfAnEarlierAnswerIsNotTakenForARequestWithTheSameID(t *testing.T) {
	is := is.New(t)
	ran := 0
	address := strayServer(t, func(c net.Conn, request, connection int) {
		if connection == 1 {
			writeAnswer(c, "1", "refused") // the answer to the first request, and a copy at each later one
		}
		if connection != 1 || request > 1 {
			ran++
			writeAnswer(c, fmt.Sprint(request), "ran")
		}
	})
	client := NewClient(nil, nil)
	defer client.Close()
	call := Call{Address: address, Prepared: prepared("1"), Matches: idMatcher("1"), Request: "1"}
	got, err := bodyOf(client, call)
	is.NoErr(err)
	is.Equal(got, "refused")
	got, err = bodyOf(client, call)
	is.NoErr(err)
	is.Equal(got, "ran")
	is.Equal(ran, 1)
	call = Call{Address: address, Prepared: prepared("2"), Matches: idMatcher("2"), Request: "2"}
	got, err = bodyOf(client, call) // a kept connection may carry another request
	is.NoErr(err)
	is.Equal(got, "ran")
}

// The requests of a connection are remembered in a bounded place.
func TestAConnectionRemembersItsLatestRequests(t *testing.T) {
	is := is.New(t)
	var r recentRequests
	is.True(!r.has(""))
	for i := range 3 * rememberedRequests {
		r.add(core.RequestID(fmt.Sprint(i)))
		r.add("")
	}
	is.Equal(len(r.hashes), rememberedRequests)
	for i := range 3 * rememberedRequests {
		is.Equal(r.has(core.RequestID(fmt.Sprint(i))), i >= 2*rememberedRequests)
	}
}
