//! What engines hold, before the list tells it.

use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::Directory;
use apricotdale_fleet::WantedModel;
use apricotdale_holder::ResidenceUpdate;

/// How long news go before the list. An entry takes up to 1.2 s to be written and is read about
/// once a second.
const NEWS_GOOD_MS: u64 = 2_600;

/// How long a model or adapter is taken as missing where an engine said so.
const MISSING_GOOD_MS: u64 = 600;

/// `NewsBoard` keeps recent news and lays them over each entry of the list that may be older.
#[derive(Debug, Default)]
pub(crate) struct NewsBoard {
    news: Vec<(ResidenceUpdate, u64)>,
}

impl NewsBoard {
    /// Takes in news. Returns whether they are new.
    pub fn note(&mut self, now_ms: u64, directory: &mut Directory, news: ResidenceUpdate) -> bool {
        self.insert(now_ms, directory, news, NEWS_GOOD_MS)
    }

    /// Takes in that an engine turned a request away because it does not hold the model.
    pub fn note_missing(
        &mut self,
        now_ms: u64,
        directory: &mut Directory,
        engine: &UpstreamName,
        wanted: &WantedModel,
    ) {
        let news = ResidenceUpdate {
            engine: engine.clone(),
            model: wanted.model.clone(),
            adapter: wanted.adapter.clone(),
            present: false,
        };
        self.insert(now_ms, directory, news, MISSING_GOOD_MS);
    }

    /// Lays the news of an engine over a fresh entry of the list.
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
        news: ResidenceUpdate,
        good_ms: u64,
    ) -> bool {
        self.news.retain(|(_, until_ms)| *until_ms > now_ms);
        let known = self.news.iter().any(|(other, _)| *other == news);
        self.news
            .retain(|(other, _)| !other.has_same_subject(&news));
        apply(directory, &news);
        self.news.push((news, now_ms + good_ms));
        !known
    }
}

fn apply(directory: &mut Directory, news: &ResidenceUpdate) {
    let Some(upstream) = directory.upstream_mut(&news.engine) else {
        return;
    };
    let residence = &mut upstream.residence;
    match (&news.adapter, news.present) {
        (None, true) => residence.record_loaded(&news.model),
        (None, false) => residence.record_unloaded(&news.model),
        (Some(adapter), true) => residence.record_adapter_loaded(&news.model, adapter),
        (Some(adapter), false) => residence.record_adapter_unloaded(&news.model, adapter),
    }
}
