package admission

import "container/heap"

// itemHeap is a heap of items. heapIndex is the index in item.index that belongs
// to this heap; item.index lets an item be removed from several heaps without a
// search.
type itemHeap struct {
	items     []*item
	less      func(a, b *item) bool
	heapIndex int
}

func (h *itemHeap) Len() int           { return len(h.items) }
func (h *itemHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index[h.heapIndex] = i
	h.items[j].index[h.heapIndex] = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.index[h.heapIndex] = len(h.items)
	h.items = append(h.items, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	it := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return it
}

func (h *itemHeap) add(it *item)    { heap.Push(h, it) }
func (h *itemHeap) remove(it *item) { heap.Remove(h, it.index[h.heapIndex]) }

func (h *itemHeap) head() *item {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// flowHeap is a heap of flows with waiting requests. heapIndex is the index in
// flow.index that belongs to this heap.
type flowHeap struct {
	flows     []*flow
	less      func(a, b *flow) bool
	heapIndex int
}

func (h *flowHeap) Len() int           { return len(h.flows) }
func (h *flowHeap) Less(i, j int) bool { return h.less(h.flows[i], h.flows[j]) }

func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].index[h.heapIndex] = i
	h.flows[j].index[h.heapIndex] = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index[h.heapIndex] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	return f
}

func (h *flowHeap) add(f *flow)    { heap.Push(h, f) }
func (h *flowHeap) remove(f *flow) { heap.Remove(h, f.index[h.heapIndex]) }
func (h *flowHeap) fix(f *flow)    { heap.Fix(h, f.index[h.heapIndex]) }
