//! The declared versions that the engines of a service load.

use dispatch::FleetView;
use domain::{ModelSource, Moment, PieceSpec, WeightVersion};
use pieces::TargetVersion;

fn source(service: &str, model: &str) -> ModelSource {
    ModelSource {
        service: service.into(),
        model: model.into(),
        pieces: PieceSpec {
            count: 64,
            bytes: 32_768,
            layers: 16,
        },
        origin: None,
    }
}

/// A view with two services that load different models.
fn view(declared: &[(&str, WeightVersion)]) -> FleetView {
    let mut view = FleetView::default();
    let sources = vec![source("chat", "large"), source("search", "small")];
    view.merge_sources(1, sources);
    for (model, version) in declared {
        let at = Moment::from_secs(1000 + 10 * version);
        view.declare((*model).into(), *version, at);
    }
    view
}

fn newest(view: &FleetView, service: &str) -> Vec<(String, WeightVersion)> {
    let targets = TargetVersion::newest(view, service, 2);
    let pair = |t: &TargetVersion| (t.model.to_string(), t.version);
    targets.iter().map(pair).collect()
}

/// The engines of a service were given the versions of another service's model.
#[test]
fn version_of_another_model_is_not_loaded() {
    let view = view(&[("large", 2), ("small", 3), ("small", 4)]);

    let (chat, search) = (newest(&view, "chat"), newest(&view, "search"));

    assert_eq!(chat, [("large".to_owned(), 2)]);
    assert_eq!(search, [("small".to_owned(), 3), ("small".to_owned(), 4)]);
}

/// A declaration for another model hid the initial version of a service's own model.
#[test]
fn first_version_applies_while_only_another_model_is_declared() {
    let view = view(&[("small", 3)]);

    let chat = newest(&view, "chat");

    assert_eq!(chat, [("large".to_owned(), 1)]);
}
