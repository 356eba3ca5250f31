//! Recent residence updates of engines, which are newer than the upstream list.

use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::Directory;
use apricotdale_fleet::WantedModel;
use apricotdale_holder::ResidenceNews;

/// How long a residence update overrides the upstream list. An engine takes up to 1.2 s to write
/// its entry, which is read about once a second.
const NEWS_GOOD_MS: u64 = 2_600;

/// How long a model or adapter counts as missing after an engine has said so.
const MISSING_GOOD_MS: u64 = 600;

/// Residence updates that are still valid. They are applied again over each new entry of the
/// upstream list, which may be older.
#[derive(Debug, Default)]
pub(crate) struct NewsBoard {
    news: Vec<(ResidenceNews, u64)>,
}

impl NewsBoard {
    /// Applies an update and keeps it. Returns whether it is new.
    pub fn note(&mut self, now_ms: u64, directory: &mut Directory, news: ResidenceNews) -> bool {
        self.insert(now_ms, directory, news, NEWS_GOOD_MS)
    }

    /// Records that an engine rejected a request because it does not hold the model.
    pub fn note_missing(
        &mut self,
        now_ms: u64,
        directory: &mut Directory,
        engine: &UpstreamName,
        wanted: &WantedModel,
    ) {
        let news = ResidenceNews {
            engine: engine.clone(),
            model: wanted.model.clone(),
            adapter: wanted.adapter.clone(),
            present: false,
        };
        self.insert(now_ms, directory, news, MISSING_GOOD_MS);
    }

    /// Applies the updates of an engine again after a new entry of the upstream list.
    pub fn lay_over(&mut self, now_ms: u64, directory: &mut Directory, engine: &UpstreamName) {
        self.news.retain(|(_, until_ms)| *until_ms > now_ms);
        for (news, _) in self.news.iter().filter(|(news, _)| &news.engine == engine) {
            apply(directory, news);
        }
    }

    fn insert(
        &mut self,
        now_ms: u64,
        directory: &mut Directory,
        news: ResidenceNews,
        good_ms: u64,
    ) -> bool {
        self.news.retain(|(_, until_ms)| *until_ms > now_ms);
        let known = self.news.iter().any(|(other, _)| *other == news);
        self.news
            .retain(|(other, _)| !other.is_about_the_same(&news));
        apply(directory, &news);
        self.news.push((news, now_ms + good_ms));
        !known
    }
}

fn apply(directory: &mut Directory, news: &ResidenceNews) {
    let Some(upstream) = directory.upstream_mut(&news.engine) else {
        return;
    };
    let residence = &mut upstream.residence;
    match (&news.adapter, news.present) {
        (None, true) => residence.note_loaded(&news.model),
        (None, false) => residence.note_unloaded(&news.model),
        (Some(adapter), true) => residence.note_adapter(&news.model, adapter),
        (Some(adapter), false) => residence.note_adapter_gone(&news.model, adapter),
    }
}
