//! Benchmarks the model's data structures against simpler or rival ones: the alias method against
//! binary search in cumulative weights, the binary-heap event queue against a calendar queue.
//!
//! Run with `cargo bench -p maplefall-model --bench structures`.

use maplefall_model::queue::EventQueue;
use maplefall_model::random::{AliasTable, RandomSource};
use std::time::Instant;

/// Draws by binary search in the cumulative sums of the weights.
struct CumulativeWeights(Vec<f64>);

impl CumulativeWeights {
    fn new(weights: &[f64]) -> CumulativeWeights {
        let mut sum = 0.0;
        let sums = weights.iter().map(|weight| {
            sum += weight;
            sum
        });
        CumulativeWeights(sums.collect())
    }

    fn draw(&self, random: &mut RandomSource) -> usize {
        let position = random.uniform() * self.0.last().copied().unwrap_or(0.0);
        self.0.partition_point(|sum| *sum <= position)
    }
}

/// A calendar queue (Brown 1988) of fixed size: at least as many buckets as events, each twice the
/// mean gap between events wide.
struct CalendarQueue {
    days: Vec<Vec<(f64, u64)>>,
    width: f64,
    today: usize,
    year_end: f64,
    day_end: f64,
    count: usize,
}

impl CalendarQueue {
    fn new(events: usize, span: f64) -> CalendarQueue {
        let days = events.next_power_of_two();
        let width = 2.0 * span / events as f64;
        CalendarQueue {
            days: vec![Vec::new(); days],
            width,
            today: 0,
            year_end: width * days as f64,
            day_end: width,
            count: 0,
        }
    }

    fn push(&mut self, at: f64, event: u64) {
        let day = (at / self.width) as usize & (self.days.len() - 1);
        self.days[day].push((at, event));
        self.count += 1;
    }

    fn pop(&mut self) -> Option<(f64, u64)> {
        if self.count == 0 {
            return None;
        }
        loop {
            let day = &mut self.days[self.today];
            let earliest = (0..day.len())
                .filter(|at| day[*at].0 < self.day_end)
                .min_by(|a, b| day[*a].0.total_cmp(&day[*b].0));
            if let Some(at) = earliest {
                self.count -= 1;
                return Some(day.swap_remove(at));
            }
            self.today = (self.today + 1) & (self.days.len() - 1);
            self.day_end += self.width;
            if self.today == 0 {
                self.year_end += self.width * self.days.len() as f64;
            }
        }
    }
}

fn main() {
    for customers in [100usize, 10_000, 1_000_000] {
        let weights: Vec<f64> = (0..customers)
            .map(|rank| 1.0 / (rank as f64 + 1.0))
            .collect();
        let alias = AliasTable::new(&weights);
        let plain = CumulativeWeights::new(&weights);
        let mut random = RandomSource::new(1);
        let started = Instant::now();
        let one: usize = (0..2_000_000)
            .map(|_| alias.draw(&mut random))
            .fold(0, usize::wrapping_add);
        let by_alias = started.elapsed().as_nanos() as f64 / 2e6;
        let started = Instant::now();
        let other: usize = (0..2_000_000)
            .map(|_| plain.draw(&mut random))
            .fold(0, usize::wrapping_add);
        let by_sums = started.elapsed().as_nanos() as f64 / 2e6;
        println!(
            "{customers} customers: alias {by_alias:.0} ns, search in sums {by_sums:.0} ns ({})",
            one.wrapping_add(other) % 2
        );
    }
    // The hold model: each event that is popped is pushed again after an exponential increment.
    for events in [1000usize, 100_000, 1_000_000] {
        let mut random = RandomSource::new(1);
        let (mut heap, mut calendar) = (EventQueue::default(), CalendarQueue::new(events, 1000.0));
        for event in 0..events as u64 {
            let at = random.exponential(1000.0);
            heap.push(at, event);
            calendar.push(at, event);
        }
        let started = Instant::now();
        for _ in 0..2_000_000 {
            if let Some((at, event)) = heap.pop() {
                heap.push(at + random.exponential(1000.0), event);
            }
        }
        let by_heap = started.elapsed().as_nanos() as f64 / 2e6;
        let started = Instant::now();
        for _ in 0..2_000_000 {
            if let Some((at, event)) = calendar.pop() {
                calendar.push(at + random.exponential(1000.0), event);
            }
        }
        let by_calendar = started.elapsed().as_nanos() as f64 / 2e6;
        println!(
            "{events} events: binary heap {by_heap:.0} ns, calendar queue {by_calendar:.0} ns"
        );
    }
}
