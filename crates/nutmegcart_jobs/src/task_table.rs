//! States of the tasks of a step.
//!
//! Load pattern: jobs of hundreds of thousands of tasks, of which few run at a time. Tasks get a state of
//! their own in chunks, when one of the chunk first changes, and give it back once all have finished. The
//! memory of a job therefore follows the tasks that are under way.

use std::ops::Index;
use std::ops::Range;

use nutmegcart_fleet::IndexRanges;

use crate::live_task::LiveTask;

/// Number of tasks that get a state of their own together.
const CHUNK: usize = 64;

/// States of consecutive tasks that are not all in their initial state.
#[derive(Clone, Debug)]
enum Chunk {
    /// All have finished, and no run of them is live.
    Finished,
    /// The state of each task.
    Own(Box<[LiveTask]>),
}

/// States of the tasks of a step, by index.
#[derive(Clone, Debug, Default)]
pub struct TaskTable {
    len: usize,
    /// State of each task that has none of its own.
    initial: LiveTask,
    /// State of each task of a finished chunk, with the highest run and the latest end of all of them.
    finished: LiveTask,
    /// Chunks by number, in ascending order, without those in their initial state.
    chunks: Vec<(usize, Chunk)>,
}

impl TaskTable {
    /// Creates the states of `len` tasks that are all in the state `initial`.
    ///
    /// ```
    /// # use nutmegcart_jobs::live_task::LiveTask;
    /// # use nutmegcart_jobs::task_table::TaskTable;
    /// let mut tasks = TaskTable::new(100, LiveTask { last_run: 16, ..LiveTask::default() });
    /// tasks.get_mut(7).unwrap().last_run = 17;
    /// assert_eq!((tasks[7].last_run, tasks[8].last_run, tasks[99].last_run), (17, 16, 16));
    /// assert_eq!(tasks.matching(|task| task.last_run == 16).count(), 99);
    /// assert!(tasks.get(100).is_none());
    /// ```
    #[must_use]
    pub fn new(len: usize, initial: LiveTask) -> Self {
        let finished = LiveTask {
            done: true,
            started: true,
            ..initial.clone()
        };
        Self {
            len,
            initial,
            finished,
            chunks: Vec::new(),
        }
    }

    /// Returns the number of tasks.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no tasks.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the state of a task.
    #[must_use]
    pub fn get(&self, index: usize) -> Option<&LiveTask> {
        if index >= self.len {
            return None;
        }
        Some(match self.chunk(index / CHUNK) {
            None => &self.initial,
            Some(Chunk::Finished) => &self.finished,
            Some(Chunk::Own(tasks)) => &tasks[index % CHUNK],
        })
    }

    /// Returns the state of a task to be changed.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut LiveTask> {
        if index >= self.len {
            return None;
        }
        let number = index / CHUNK;
        let size = self.chunk_len(number);
        let position = match self.position(number) {
            Ok(position) => position,
            Err(position) => {
                let own = vec![self.initial.clone(); size].into();
                self.chunks.insert(position, (number, Chunk::Own(own)));
                position
            }
        };
        let chunk = &mut self.chunks[position].1;
        if let Chunk::Finished = chunk {
            *chunk = Chunk::Own(vec![self.finished.clone(); size].into());
        }
        match chunk {
            Chunk::Own(tasks) => tasks.get_mut(index % CHUNK),
            Chunk::Finished => None,
        }
    }

    /// Returns every state that some task is in, at least once.
    pub fn states(&self) -> impl Iterator<Item = &LiveTask> + Clone {
        let own = self.chunks.iter().flat_map(|(_, chunk)| match chunk {
            Chunk::Finished => std::slice::from_ref(&self.finished),
            Chunk::Own(tasks) => tasks,
        });
        let shared = (self.chunks.len() < self.chunk_count()).then_some(&self.initial);
        own.chain(shared)
    }

    /// Returns the indexes of the tasks for which `test` is true, in ascending order.
    pub fn matching(&self, test: impl Fn(&LiveTask) -> bool + Clone) -> impl Iterator<Item = u32> {
        self.matching_ranges(test).flatten()
    }

    /// Returns the indexes of the tasks for which `test` is true, as ranges in ascending order, which may
    /// adjoin.
    pub fn matching_ranges(
        &self,
        test: impl Fn(&LiveTask) -> bool + Clone,
    ) -> impl Iterator<Item = Range<u32>> {
        (0..self.chunk_count()).flat_map(move |number| {
            let (own, all): (&[LiveTask], bool) = match self.chunk(number) {
                None => (&[], test(&self.initial)),
                Some(Chunk::Finished) => (&[], test(&self.finished)),
                Some(Chunk::Own(tasks)) => (tasks, false),
            };
            let start = number * CHUNK;
            let shared = all.then(|| start..start + self.chunk_len(number));
            let test = test.clone();
            let own = (start..).zip(own).filter(move |(_, task)| test(task));
            let ranges = own.map(|(index, _)| index..index + 1).chain(shared);
            ranges.map(|range| as_index(range.start)..as_index(range.end))
        })
    }

    /// Returns the number of tasks for which `test` is true.
    pub fn count(&self, test: impl Fn(&LiveTask) -> bool) -> usize {
        let counts = (0..self.chunk_count()).map(|number| match self.chunk(number) {
            None if test(&self.initial) => self.chunk_len(number),
            Some(Chunk::Finished) if test(&self.finished) => self.chunk_len(number),
            Some(Chunk::Own(tasks)) => tasks.iter().filter(|task| test(task)).count(),
            _ => 0,
        });
        counts.sum()
    }

    /// Changes the states of all tasks alike.
    pub fn update_all(&mut self, update: impl Fn(&mut LiveTask)) {
        update(&mut self.initial);
        update(&mut self.finished);
        for (_, chunk) in &mut self.chunks {
            if let Chunk::Own(tasks) = chunk {
                tasks.iter_mut().for_each(&update);
            }
        }
    }

    /// Marks tasks as finished, and returns how many of them had not been.
    ///
    /// ```
    /// # use nutmegcart_fleet::IndexRanges;
    /// # use nutmegcart_jobs::live_task::LiveTask;
    /// # use nutmegcart_jobs::task_table::TaskTable;
    /// let mut tasks = TaskTable::new(100, LiveTask::default());
    /// assert_eq!(tasks.finish(&IndexRanges::from_ranges(std::iter::once(0..70))), 70);
    /// assert_eq!(tasks.finish(&IndexRanges::from_ranges(std::iter::once(60..80))), 10);
    /// assert_eq!(tasks.count(|task| task.done), 80);
    /// ```
    pub fn finish(&mut self, indexes: &IndexRanges) -> u32 {
        let mut finished = 0;
        for number in 0..self.chunk_count() {
            let start = number * CHUNK;
            let is_open = |index: &usize| {
                let named = u32::try_from(*index).is_ok_and(|index| indexes.contains(index));
                named && self.get(*index).is_some_and(|task| !task.done)
            };
            let open: Vec<usize> = (start..start + self.chunk_len(number))
                .filter(is_open)
                .collect();
            for index in &open {
                if let Some(task) = self.get_mut(*index) {
                    task.done = true;
                    task.started = true;
                    finished += 1;
                }
            }
            self.compact(start);
        }
        finished
    }

    /// Drops the states of the tasks of one chunk, that of `index`, if all of them have finished and no
    /// run of them is live.
    pub fn compact(&mut self, index: usize) {
        let Ok(position) = self.position(index / CHUNK) else {
            return;
        };
        let chunk = &mut self.chunks[position].1;
        let over = |task: &LiveTask| task.done && task.live_runs == 0;
        if let Chunk::Own(tasks) = chunk
            && tasks.iter().all(over)
        {
            for task in tasks {
                let finished = &mut self.finished;
                finished.last_run = finished.last_run.max(task.last_run);
                finished.waiting_since = finished.waiting_since.max(task.waiting_since);
            }
            *chunk = Chunk::Finished;
        }
    }

    const fn chunk_count(&self) -> usize {
        self.len.div_ceil(CHUNK)
    }

    fn chunk_len(&self, number: usize) -> usize {
        CHUNK.min(self.len - number * CHUNK)
    }

    fn position(&self, number: usize) -> Result<usize, usize> {
        self.chunks.binary_search_by_key(&number, |(each, _)| *each)
    }

    fn chunk(&self, number: usize) -> Option<&Chunk> {
        let position = self.position(number).ok()?;
        Some(&self.chunks[position].1)
    }
}

/// A step has at most [`crate::job::MAX_TASKS`] tasks.
fn as_index(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}

impl Index<usize> for TaskTable {
    type Output = LiveTask;

    fn index(&self, index: usize) -> &LiveTask {
        self.get(index).expect("the step has a task with the index")
    }
}
