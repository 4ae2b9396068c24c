package admission

// indexedHeap is a binary heap that reports the index of each element to setIndex, so that an element can be removed or
// moved by its index.
type indexedHeap[T any] struct {
	// elements holds the elements in heap order.
	elements []T
	// less reports whether a goes before b.
	less func(a, b T) bool
	// setIndex stores the current index of an element, or -1 when it is removed.
	setIndex func(element T, index int)
}

// push adds an element.
func (o *indexedHeap[T]) push(element T) {
	o.elements = append(o.elements, element)
	o.setIndex(element, len(o.elements)-1)
	o.siftUp(len(o.elements) - 1)
}

// remove removes and returns the element at an index, which must exist.
func (o *indexedHeap[T]) remove(index int) T {
	last := len(o.elements) - 1
	if index != last {
		o.swap(index, last)
	}
	element := o.elements[last]
	var none T
	o.elements[last] = none
	o.elements = o.elements[:last]
	if index != last {
		o.fix(index)
	}
	o.setIndex(element, -1)
	return element
}

// fix restores the heap order after the element at an index has changed.
func (o *indexedHeap[T]) fix(index int) {
	if !o.siftDown(index) {
		o.siftUp(index)
	}
}

// siftUp moves an element towards the front while it goes before its parent.
func (o *indexedHeap[T]) siftUp(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !o.less(o.elements[index], o.elements[parent]) {
			return
		}
		o.swap(index, parent)
		index = parent
	}
}

// siftDown moves an element towards the back while a child goes before it, and reports whether it moved.
func (o *indexedHeap[T]) siftDown(index int) bool {
	start := index
	for {
		child := 2*index + 1
		if child >= len(o.elements) {
			break
		}
		if child+1 < len(o.elements) && o.less(o.elements[child+1], o.elements[child]) {
			child++
		}
		if !o.less(o.elements[child], o.elements[index]) {
			break
		}
		o.swap(index, child)
		index = child
	}
	return index > start
}

// swap exchanges two elements.
func (o *indexedHeap[T]) swap(i, j int) {
	o.elements[i], o.elements[j] = o.elements[j], o.elements[i]
	o.setIndex(o.elements[i], i)
	o.setIndex(o.elements[j], j)
}
