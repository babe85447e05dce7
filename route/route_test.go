package route_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/route"
)

func table(routes ...route.Route) *route.Table {
	return route.New(route.Config{Version: 1, Routes: routes,
		Workspaces: []route.Workspace{{Name: "w", APIKeys: []string{"k1", "k2"}}}})
}

var _ = Describe("the routing table", func() {
	t := table(route.Route{Name: "root", Host: "h", PathPrefix: "/"}, route.Route{Name: "a", Host: "h", PathPrefix: "/a/"},
		route.Route{Name: "ab", Host: "h", PathPrefix: "/a/b/"}, route.Route{Name: "other", Host: "i", PathPrefix: "/c/"})

	DescribeTable("matches the longest prefix of the host",
		func(host, path, want string) {
			r, ok := t.Match(host, path)
			Expect(ok).To(Equal(want != ""))
			if ok {
				Expect(r.Name).To(Equal(want))
			}
		},
		Entry(nil, "h", "/a/b/c", "ab"),
		Entry(nil, "h", "/a/c", "a"),
		Entry(nil, "h", "/a", "root"),
		Entry(nil, "H:80", "/a/", "a"),
		Entry(nil, "i", "/a/", ""),
		Entry(nil, "j", "/", ""),
	)

	It("finds workspaces by any of their keys", func() {
		w, ok := t.Workspace("k2")
		Expect(ok).To(BeTrue())
		Expect(w.Name).To(Equal("w"))
		_, ok = t.Workspace("")
		Expect(ok).To(BeFalse())
	})

	It("splits traffic by weight", func() {
		r := route.Route{TrafficSplit: []route.Share{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
		count := map[string]int{}
		for i := range 1000 {
			s, ok := r.PickService(float64(i) / 1000)
			Expect(ok).To(BeTrue())
			count[s]++
		}
		Expect(count).To(Equal(map[string]int{"x": 900, "y": 100}))
		_, ok := (&route.Route{}).PickService(0.5)
		Expect(ok).To(BeFalse())
	})
})

func BenchmarkMatch(b *testing.B) {
	var routes []route.Route
	for i := range 1500 {
		routes = append(routes, route.Route{Host: "h", PathPrefix: fmt.Sprintf("/r%d/", i)})
	}
	t := table(routes...)
	for b.Loop() {
		t.Match("h", "/r700/x")
	}
}
